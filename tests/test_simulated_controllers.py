"""The replicated cluster state under faults: edits, reads, delivery and votes, with random seeds."""

import unittest
import unittest.mock

from twisted.internet import defer

from pipitlink.errors import CorruptData, NotLeader, PipitlinkError, StorageFull, Unconfirmed, WireError
from pipitlink.timers import ms
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from pipitlink.wire.controller_pb2 import EditRequest, EditResponse
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulation import Simulation

SEEDS = seeds(4)
IN_EFFECT_S = 2.0


def edit_of(name, base, text):
    return Command(edit=text, table=TableEdit(base=base, upserts=[Row(name=name, model=text)]))


class _Operators:
    """Operators that concurrently edit the newest table they could read, with the outcomes they received."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.over = False
        self.acked: list[tuple[float, int, str]] = []
        self.refused: set[str] = set()
        self.faults: list[str] = []
        self.reads = 0
        self.n = 0

    def newest(self) -> int:
        return self.acked[-1][1] if self.acked else 0

    async def operate(self, operator: int):
        rng, timers = self.simulation.rng, self.timers
        while not self.over:
            await timers.sleep(ms(100 + rng.randrange(500)))
            controller = rng.choice(self.simulation.role("controller"))
            if not controller.alive or controller.frozen:
                continue
            part = controller.part
            try:
                min_sequence = self.newest()
                await part.log_replication.confirm_leadership()
                table = part.consensus.cluster_state.table_sequence
                self.reads += 1
                if table < min_sequence:
                    self.faults.append(f"read {table} after {min_sequence} was acknowledged")
                self.n += 1
                text = f"edit{self.n}"
                outcome = await part.state_delivery.edit(edit_of(f"row{operator}", table, text))
                if outcome.code == "done":
                    self.acked.append((self.simulation.clock.seconds(), outcome.sequence, text))
                    self.acked.sort(key=lambda a: a[1])
                else:
                    self.refused.add(text)
            except (NotLeader, Unconfirmed, WireError, PipitlinkError):
                pass

    def check_gateways(self):
        """Checks that no gateway admits work while it lacks an edit that was acknowledged more than two seconds ago."""
        now = self.simulation.clock.seconds()
        min_sequence = max((seq for at, seq, _ in self.acked if now - at > IN_EFFECT_S), default=0)
        for a in self.simulation.role("gateway", alive=True):
            cluster = a.ctx.cluster
            if cluster.ready() and cluster.cluster_state.table_sequence < min_sequence:
                self.faults.append(
                    f"{a.name} admits at {cluster.cluster_state.table_sequence}, {min_sequence} is in effect, {now}"
                )


class ClusterUnderFaults(unittest.TestCase):
    def run_seed(self, seed, roles):
        simulation = Simulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        operators = _Operators(simulation)
        operators.timers = simulation.timers()
        original_run = simulation.run

        def run(seconds, step=0.005):
            for _ in range(int(seconds / 0.05)):
                original_run(0.05, step)
                operators.check_gateways()

        simulation.run = run
        random_faults = RandomFaults(simulation, roles=roles)
        random_faults.run_with_faults([operators.operate(0), operators.operate(1)], faults=12)
        simulation.run(6)
        operators.over = True
        simulation.run(8)
        simulation.ready()
        self.assertEqual(operators.faults, [], f"seed {seed}: {random_faults.injected}")
        cluster_state = simulation.leader().part.consensus.cluster_state
        done = {o.edit: o.sequence for o in cluster_state.outcomes.values() if o.code == "done"}
        for _, sequence, text in operators.acked:
            self.assertEqual(done.get(text), sequence, f"seed {seed}: {text} was acknowledged and is lost")
        self.assertFalse(operators.refused & set(done))
        tables = {a.part.consensus.cluster_state.table_sequence for a in simulation.role("controller")} | {
            a.ctx.cluster.cluster_state.table_sequence for a in simulation.role("gateway")
        }
        self.assertEqual(tables, {cluster_state.table_sequence}, f"seed {seed}")
        return len(operators.acked)

    def test_acknowledged_edits_persist_while_controllers_fail(self):
        self.assertGreater(sum(self.run_seed(s, ("controller",)) for s in SEEDS), 5 * len(SEEDS))

    def test_acknowledged_edits_persist_while_all_roles_fail(self):
        self.assertGreater(
            sum(self.run_seed(s, ("controller", "gateway", "storage", "gateway")) for s in SEEDS), 5 * len(SEEDS)
        )


class Controllers(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(9, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()

    def test_a_controller_with_an_empty_disk_is_a_newcomer_and_a_standby_replaces_it_as_voter(self):
        voters = self.simulation.leader().part.consensus.voters()
        lost = next(
            a for a in self.simulation.role("controller") if a.node in voters and a is not self.simulation.leader()
        )
        old = lost.node
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        self.assertNotEqual(lost.node, old)
        self.assertEqual(lost.part.consensus.role, "newcomer")
        self.simulation.until(
            lambda: (
                self.simulation.leader()
                and old not in self.simulation.leader().part.consensus.cluster_state.voters
                and len(self.simulation.leader().part.consensus.cluster_state.voters) == 3
            ),
            12,
            "the standby is a voter",
        )
        self.simulation.until(
            lambda: (
                lost.part.consensus.cluster_state.sequence
                == self.simulation.leader().part.consensus.cluster_state.sequence
            ),
            5,
            "it is up to date",
        )

    def test_an_isolated_leader_rejects_edits_and_reads(self):
        leader = self.simulation.leader()
        others = [a.name for a in self.simulation.simulated_nodes.values() if a is not leader]
        self.simulation.cut([leader.name], others)
        with self.assertRaises(PipitlinkError):
            self.simulation.do(leader.part.state_delivery.edit(edit_of("r", 0, "lone")), 10)
        with self.assertRaises(PipitlinkError):
            self.simulation.do(leader.part.log_replication.confirm_leadership(), 10)
        self.simulation.until(lambda: self.simulation.leader() is not None, 10, "another controller leads")
        self.assertIsNot(self.simulation.leader(), leader)
        self.simulation.do(self.simulation.leader().part.state_delivery.edit(edit_of("r", 0, "theirs")), 10)
        self.simulation.heal()
        self.simulation.run(3)
        self.assertEqual(leader.part.consensus.cluster_state.rows["r"].model, "theirs")

    def test_an_edit_forwarded_to_an_isolated_leader_is_unconfirmed_as_soon_as_the_loss_is_detected(self):
        leader = self.simulation.leader()
        other = next(
            a
            for a in self.simulation.role("controller")
            if a is not leader and a.part.consensus.leader_id == leader.node
        )
        self.simulation.cut([leader.name], [a for a in self.simulation.simulated_nodes if a != leader.name])
        with self.assertRaises(Unconfirmed):
            self.simulation.do(
                other.part.submission._call_leader(
                    "controller.edit", EditRequest(command=edit_of("r", 0, "passed on")), EditResponse
                ),
                3,
            )

    def test_gateways_serve_without_controllers_and_no_edit_is_acknowledged(self):
        controllers = [a.name for a in self.simulation.role("controller")]
        others = [a.name for a in self.simulation.simulated_nodes.values() if a.role != "controller"]
        self.simulation.cut(controllers, others)
        for _ in range(100):
            self.simulation.run(0.1)
            if _ > 30:
                self.assertEqual(
                    [a.ctx.cluster.state for a in self.simulation.role("gateway") if a.ctx.cluster.ready()],
                    ["witnessed"] * 3,
                )
        with self.assertRaises(PipitlinkError):
            self.simulation.do(self.simulation.leader().part.state_delivery.edit(edit_of("r", 0, "unheard")), 20)

    def test_edits_succeed_without_two_of_four_storage_nodes_and_no_gateway_misses_one(self):
        cluster_state = self.simulation.leader().part.consensus.cluster_state
        self.assertEqual(cluster_state.confirmed_witness_change, cluster_state.witnesses_changed_at)
        storage_nodes = self.simulation.role("storage")
        for a in storage_nodes[:2]:
            a.kill()
        leader = self.simulation.leader().part
        self.simulation.do(leader.state_delivery.edit(edit_of("r", cluster_state.table_sequence, "two away")), 6)
        newest = leader.consensus.cluster_state.table_sequence
        self.simulation.cut(
            [a.name for a in self.simulation.role("controller")],
            [a.name for a in self.simulation.simulated_nodes.values() if a.role != "controller"],
        )
        for a in storage_nodes[:2]:
            a.start()
        for _ in range(100):
            self.simulation.run(0.05)
            for g in self.simulation.role("gateway"):
                self.assertFalse(g.ctx.cluster.ready() and g.ctx.cluster.cluster_state.table_sequence < newest)
        self.simulation.heal()
        self.simulation.ready()

    def test_half_of_the_witnesses_are_not_enough_while_their_set_changes(self):
        leader, timers = self.simulation.leader().part, self.simulation.timers()
        leader.consensus.cluster_state.confirmed_witness_change -= 1
        leader.witnesses._confirm_change = lambda: timers.sleep(ms(0))
        for a in self.simulation.role("storage")[:2]:
            a.kill()
        with self.assertRaises(PipitlinkError):
            self.simulation.do(
                leader.state_delivery.edit(edit_of("r", leader.consensus.cluster_state.table_sequence, "unsettled")), 6
            )

    def test_restarted_nodes_rejoin_without_seeds_and_refute_a_false_suspicion(self):
        self.simulation.seeds = ("10.0.0.1:9", "10.0.0.1:10", "10.0.0.1:11")
        storage_node, controller = self.simulation.role("storage")[1], self.simulation.role("controller")[3]
        for a in (storage_node, controller):
            a.kill()
            a.start()
        for a in (storage_node, controller):
            self.simulation.until(
                lambda: len(a.ctx.membership.members(statuses=("alive",))) == 11, 10, "all members are known again"
            )
        storage_node.freeze()
        self.simulation.until(
            lambda: controller.ctx.membership.status(storage_node.node) == "gone", 10, "it is considered gone"
        )
        storage_node.thaw()
        self.simulation.until(
            lambda: controller.ctx.membership.status(storage_node.node) == "alive", 10, "it has refuted the suspicion"
        )
        self.assertGreater(storage_node.ctx.membership.local_member.incarnation, 1)

    def test_a_controller_without_disk_space_rejects_edits_before_proposing_them(self):
        part = self.simulation.leader().part
        with (
            unittest.mock.patch.object(part.durable_log, "used_bytes", lambda: 10**12),
            self.assertRaises(StorageFull) as raised,
        ):
            self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "no room")))
        self.assertFalse(raised.exception.sent)
        self.assertEqual(self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "room"))).code, "done")

    def test_a_leader_whose_disk_rejects_an_entry_steps_down_and_never_reuses_its_index(self):
        leader = self.simulation.leader()
        leader.disk.full = True
        with self.assertRaises(PipitlinkError) as raised:
            self.simulation.do(leader.part.state_delivery.edit(edit_of("r", 0, "refused by its disk")))
        leader.disk.full = False
        for n in range(3):
            part = self.simulation.until(self.simulation.leader, 10, "a controller leads").part
            self.simulation.do(part.log_replication.confirm_leadership())
            outcome = self.simulation.do(
                part.state_delivery.edit(edit_of("s", part.consensus.cluster_state.table_sequence, f"next{n}"))
            )
            self.assertEqual(outcome.code, "done")
        self.simulation.run(3)
        cluster_states = {
            (
                a.part.consensus.cluster_state.table_sequence,
                *sorted((r.name, r.model) for r in a.part.consensus.cluster_state.rows.values()),
            )
            for a in self.simulation.role("controller")
        }
        self.assertEqual(len(cluster_states), 1, cluster_states)
        self.assertIsInstance(raised.exception, Unconfirmed)

    def test_a_leader_counts_only_what_its_own_disk_has_synced_in_this_term(self):
        """A leader's synced index of an earlier term may be beyond the end of its log, which was truncated since."""
        for a in self.simulation.role("controller"):
            a.part.log_replication.synced_index = 10**6
        self.simulation.leader().part.consensus.step_down()
        leader = self.simulation.until(self.simulation.leader, 10, "a controller leads")
        self.simulation.run(2)
        others = [
            a
            for a in self.simulation.role("controller")
            if a is not leader and a.node in leader.part.consensus.voters()
        ]
        others[0].kill()
        leader.ctx.run_in_thread = lambda do, *args: defer.Deferred()
        with self.assertRaises(PipitlinkError):
            self.simulation.do(leader.part.state_delivery.edit(edit_of("r", 0, "not on two disks")), 12)
        self.assertEqual(
            [a.name for a in self.simulation.role("controller") if "r" in a.part.consensus.cluster_state.rows], []
        )

    def test_a_committed_edit_whose_leader_steps_down_is_unconfirmed_and_not_rejected(self):
        part = self.simulation.leader().part
        self.simulation.clock.callLater(1, part.consensus.step_down)
        with (
            unittest.mock.patch.object(part.state_delivery, "is_in_effect", lambda sequence: False),
            self.assertRaises(Unconfirmed),
        ):
            self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "agreed")))
        self.simulation.until(lambda: self.simulation.leader() is not None, 10, "a controller leads")
        self.simulation.run(2)
        again = self.simulation.do(self.simulation.leader().part.state_delivery.edit(edit_of("r", 0, "agreed")))
        self.assertEqual(again.code, "done")

    def test_a_controller_that_lost_its_log_or_its_snapshot_does_not_start(self):
        for name, pattern in (("controller0", "agreed/seg-*.log"), ("controller1", "setup-*/setup.dat")):
            a = self.simulation.simulated_nodes[name]
            a.kill()
            for path in a.folder.glob(pattern):
                path.unlink()
            with self.assertRaises(CorruptData):
                a.start()
            a.alive = False

    def test_a_repeated_edit_id_returns_the_recorded_outcome(self):
        part = self.simulation.leader().part
        first = self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "once")))
        again = self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "once")))
        self.assertEqual((first.code, first.sequence), (again.code, again.sequence))
        lost = self.simulation.do(part.state_delivery.edit(edit_of("r", 0, "second")))
        self.assertEqual(lost.code, "wrong_base")
        self.assertEqual(part.consensus.cluster_state.rows["r"].model, "once")

    def test_a_long_log_is_compacted_and_a_new_controller_installs_the_snapshot(self):
        leader = self.simulation.leader()

        async def append_entries():
            for n in range(2700):
                await leader.part.log_replication.propose(Command(no_op=True))

        self.simulation.do(append_entries(), 600)
        self.simulation.until(lambda: leader.part.durable_log.snapshot.index > 0, 10, "the log is compacted")
        newcomer = self.simulation.add("controller", "controller9", "zone-a", 1900)
        newcomer.start()
        self.simulation.until(
            lambda: newcomer.part.consensus.cluster_state.sequence == leader.part.consensus.cluster_state.sequence,
            10,
            "the new controller is up to date",
        )
        for a in (leader, newcomer):
            a.kill(power=True)
            a.start()
        self.simulation.ready()
        self.assertGreater(newcomer.part.durable_log.snapshot.index, 0)
