"""A simulated cluster with many logs, whose machines fail in several ways, and checks of replicas and voters."""

from pipitlink.disk import decode_frames
from pipitlink.errors import PipitlinkError
from pipitlink.replicated_log.placement_group import placement_group_of
from pipitlink.timers import ms, secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

__all__ = ["LossSimulation", "LOSS_KINDS"]

LOSS_KINDS = ("wiped", "wiped_late", "replaced", "planned", "killed", "power", "frozen", "cut")
OUTAGE_S = 2.0
CONCURRENT_WRITES = 25


class LossSimulation(Simulation):
    """Runs a workload of many ended logs, writers of a few open logs, and operator edits."""

    def __init__(self, seed, logs=200, writers=6, losses=1, storage_nodes=4, controllers=4, zones=4):
        super().__init__(
            seed,
            controllers=controllers,
            storage_nodes=storage_nodes,
            gateways=3,
            placement_groups=16,
            settings={"machine_losses": losses},
            named=True,
        )
        self.losses, self.zones = losses, zones
        for role in ("controller", "storage"):
            for n, member in enumerate(self.role(role)):
                member.zone = "zone-" + "abcdefgh"[n % zones]
        self._successor_count = self._closed_log_count = 0
        self.acknowledged: dict[str, dict[int, bytes]] = {}
        self.edits: dict[str, int] = {}
        self.stopped = False
        self._initial_log_count, self._writer_count = logs, writers

    def start_workload(self):
        self.start()
        self.ready()
        self.until(lambda: not self.missing_replicas(), 40, "all placement groups have all replicas")
        self.until(lambda: not self.missing_votes(), 20, "all voters vote")
        self.write_closed_logs(self._initial_log_count)
        for n in range(self._writer_count):
            spawn(self._write_open_log(f"open/{n}"))
        spawn(self._send_edits())
        self.run(2)

    def write_closed_logs(self, count: int):
        """Writes logs of three records each, the last of which ends the log."""
        first, self._closed_log_count = self._closed_log_count, self._closed_log_count + count
        for n in range(first, first + count, CONCURRENT_WRITES):
            self._run_all(
                [self._write_closed_log(number) for number in range(n, min(n + CONCURRENT_WRITES, first + count))]
            )

    def _run_all(self, writes):
        results = []
        for write in writes:
            spawn(write).addBoth(results.append)
        self.until(lambda: len(results) == len(writes), 40, "the logs are written")
        assert not any(results), results

    def gateway(self, n=0):
        return self.role("gateway", alive=True)[n % 3].ctx

    async def _write_closed_log(self, n: int):
        name, log = f"closed/{n}", self.gateway(n).replicated_log
        leaseholder = await log.acquire(name)
        for number in range(3):
            body = f"{name}/{number}".encode() * 60
            self.acknowledged.setdefault(name, {})[await leaseholder.append([body], final=number == 2)] = body
        await log.release([leaseholder])

    async def _write_open_log(self, name: str):
        ctx, n = self.gateway(int(name.partition("/")[2])), 0
        acknowledged = self.acknowledged.setdefault(name, {})
        while not self.stopped:
            try:
                leaseholder = await ctx.replicated_log.acquire(name)
                while not self.stopped:
                    n += 1
                    body = f"{name}/{n}".encode()
                    acknowledged[await leaseholder.append([body])] = body
                    await ctx.timers.sleep(ms(30))
            except PipitlinkError:
                await ctx.timers.sleep(ms(100))
        await ctx.replicated_log.release(
            [leaseholder for leaseholder in ctx.replicated_log.leaseholders.values() if leaseholder.log == name]
        )

    async def _send_edits(self):
        timers, n = self.timers(), 0
        while not self.stopped:
            await timers.sleep(ms(150))
            leader = self.leader()
            if leader is None:
                continue
            n += 1
            edit = Command(
                edit=f"e{n}",
                table=TableEdit(
                    base=leader.part.consensus.cluster_state.table_sequence,
                    upserts=[Row(name=f"r{n % 20}", model=f"m{n}")],
                ),
            )
            try:
                outcome = await timers.with_timeout(secs(3), leader.part.state_delivery.edit(edit))
                if outcome.code == "done":
                    self.edits[edit.edit] = outcome.sequence
            except PipitlinkError:
                continue

    def missing_replicas(self) -> str:
        """Returns why the logs might not survive another loss, or "" if all replicas are complete."""
        leader = self.leader()
        if leader is None:
            return "no leader"
        groups = leader.part.consensus.cluster_state.placement_groups
        alive = {member.node: member for member in self.role("storage", alive=True)}
        if not groups:
            return "no placement groups"
        for group in groups.values():
            if group.joining or group.leaving:
                return f"placement group {group.number} is changing"
            if len(group.storage_nodes) != 2 * self.losses + 1 or any(
                node not in alive for node in group.storage_nodes
            ):
                return f"placement group {group.number} lacks a replica"
        return self._stale_replica(groups, alive)

    def _stale_replica(self, groups, alive) -> str:
        """Returns a message about a log of which a replica lacks bytes that are on a majority, or ""."""
        for group in groups.values():
            stores = [alive[node].part.log_store for node in group.storage_nodes]
            for name in {n for store in stores for n in store.logs}:
                if placement_group_of(name, self.placement_groups) != group.number:
                    continue
                replicas = [store.logs.get(name) for store in stores]
                lengths = sorted((replica.length if replica else 0 for replica in replicas), reverse=True)
                slack = 0 if name.startswith("closed") else 200
                if lengths[-1] + slack < lengths[len(lengths) // 2]:
                    return f"{name} is outdated on a replica of placement group {group.number}"
        return ""

    def missing_votes(self) -> str:
        leader = self.leader()
        if leader is None:
            return "no leader"
        voters = set(leader.part.consensus.cluster_state.voters)
        alive = {member.node: member for member in self.role("controller", alive=True)}
        if len(voters) != 2 * self.losses + 1 or not voters <= set(alive):
            return f"{len(voters)} voters, {len(voters - set(alive))} of them down"
        behind = [
            voter
            for voter in voters
            if alive[voter].part.consensus.commit_index + 10 < leader.part.consensus.commit_index
        ]
        return f"voters {behind} are behind" if behind else ""

    def inject_loss(self, simulated_node, kind: str):
        """Makes a machine fail in one of the LOSS_KINDS; returns once it is back or its successor has started."""
        others = [name for name in self.simulated_nodes if name != simulated_node.name]
        if kind in ("wiped", "wiped_late", "killed", "power"):
            simulated_node.kill(power=kind != "killed")
            if kind.startswith("wiped"):
                simulated_node.wipe()
            self.run(0.1 if kind == "wiped" else 2 * OUTAGE_S if kind == "wiped_late" else OUTAGE_S)
            simulated_node.start()
        elif kind == "replaced":
            simulated_node.kill(power=True)
            self.run(1)
            self.add_successor(simulated_node)
        elif kind == "planned":
            self.add_successor(simulated_node)
            self.run(0.3)
            spawn(simulated_node.part.shut_down())
            self.run(0.1)
            simulated_node.kill()
        elif kind == "frozen":
            simulated_node.freeze()
            self.run(2 * OUTAGE_S)
            simulated_node.thaw()
        elif kind == "cut":
            self.cut([simulated_node.name], others)
            self.run(2 * OUTAGE_S)
            self.heal()

    def add_successor(self, simulated_node):
        self._successor_count += 1
        name = f"{simulated_node.role}s{self._successor_count}"
        self.add(simulated_node.role, name, simulated_node.zone, 2000 + self._successor_count).start()
        return self.simulated_nodes[name]

    def wait_until_repaired(self, limit: float) -> float:
        """Waits until all replicas are complete and all voters are up to date; returns the seconds it took."""
        since = self.clock.seconds()
        while self.missing_replicas() or self.missing_votes():
            if self.clock.seconds() - since > limit:
                raise AssertionError(
                    f"seed {self.seed}: no repair within {limit} s: {self.missing_replicas()}, {self.missing_votes()}"
                )
            self.run(0.05)
        return self.clock.seconds() - since

    def missing_acknowledged(self) -> list[str]:
        """Stops the workload; returns the acknowledged records and edits that were lost."""
        self.stopped = True
        self.run(4)
        self.ready()
        missing = []
        for name, acknowledged in self.acknowledged.items():
            found = self._read(name)
            missing += [f"{name} at {at}" for at, body in acknowledged.items() if found.get(at) != body]
        done = {
            outcome.edit: outcome.sequence for outcome in self.leader().part.consensus.cluster_state.outcomes.values()
        }
        return missing + [edit for edit, sequence in self.edits.items() if done.get(edit) != sequence]

    def _read(self, name: str) -> dict[int, bytes]:
        """Returns the records of a log as read by a new leaseholder, or nothing if the lease cannot be acquired."""
        log = self.gateway().replicated_log
        for _ in range(10):
            try:
                leaseholder = self.do(log.acquire(name), 30)
            except PipitlinkError:
                self.run(0.5)
                continue
            self.do(log.release([leaseholder]))
            return {at: body for at, body, _ in decode_frames(bytes(leaseholder.data))}
        return {}
