"""A simulated fleet with many logs, losses of each kind, and what is whole in it."""

from pipitlink.disk import decode_frames
from pipitlink.errors import PipitlinkError
from pipitlink.replicated_log.placement_group import placement_group_of
from pipitlink.timers import ms, secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

__all__ = ["LossSimulation", "KINDS"]

KINDS = ("wiped", "wiped_late", "replaced", "planned", "killed", "power", "frozen", "cut")
AWAY = 2.0
AT_ONCE = 25


class LossSimulation(Simulation):
    """Logs of which most have ended, writers of some that stay open, and operators' edits."""

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
            for n, a in enumerate(self.role(role)):
                a.zone = "zone-" + "abcdefgh"[n % zones]
        self._added = self._closed_logs = 0
        self.acked: dict[str, dict[int, bytes]] = {}
        self.edits: dict[str, int] = {}
        self.over = False
        self._logs, self._writers = logs, writers

    def begin(self):
        self.start()
        self.ready()
        self.until(lambda: not self.lacking(), 40, "all is placed")
        self.until(lambda: not self.votes_lacking(), 20, "all voters vote")
        self.write_closed(self._logs)
        for n in range(self._writers):
            spawn(self._write(f"open/{n}"))
        spawn(self._operate())
        self.run(2)

    def write_closed(self, count: int):
        """Writes logs that end at once."""
        first, self._closed_logs = self._closed_logs, self._closed_logs + count
        for n in range(first, first + count, AT_ONCE):
            self._all([self._closed(i) for i in range(n, min(n + AT_ONCE, first + count))])

    def _all(self, works):
        box = []
        for w in works:
            spawn(w).addBoth(box.append)
        self.until(lambda: len(box) == len(works), 40, "the logs are written")
        assert not any(box), box

    def gateway(self, n=0):
        return self.role("gateway", alive=True)[n % 3].ctx

    async def _closed(self, n: int):
        name, log = f"closed/{n}", self.gateway(n).replicated_log
        h = await log.acquire(name)
        for i in range(3):
            body = f"{name}/{i}".encode() * 60
            self.acked.setdefault(name, {})[await h.append([body], final=i == 2)] = body
        await log.release([h])

    async def _write(self, name: str):
        ctx, n = self.gateway(int(name.partition("/")[2])), 0
        mine = self.acked.setdefault(name, {})
        while not self.over:
            try:
                h = await ctx.replicated_log.acquire(name)
                while not self.over:
                    n += 1
                    body = f"{name}/{n}".encode()
                    mine[await h.append([body])] = body
                    await ctx.timers.sleep(ms(30))
            except PipitlinkError:
                await ctx.timers.sleep(ms(100))
        await ctx.replicated_log.release([h for h in ctx.replicated_log.leaseholders.values() if h.log == name])

    async def _operate(self):
        timers, n = self.timers(), 0
        while not self.over:
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
                out = await timers.with_timeout(secs(3), leader.part.state_delivery.edit(edit))
                if out.code == "done":
                    self.edits[edit.edit] = out.sequence
            except PipitlinkError:
                continue

    def lacking(self) -> str:
        """What keeps the logs from outlasting another loss, or nothing."""
        leader = self.leader()
        if leader is None:
            return "no leader"
        groups = leader.part.consensus.cluster_state.placement_groups
        alive = {a.node: a for a in self.role("storage", alive=True)}
        if not groups:
            return "nothing is placed"
        for s in groups.values():
            if s.joining or s.leaving:
                return f"{s.number} moves"
            if len(s.storage_nodes) != 2 * self.losses + 1 or any(d not in alive for d in s.storage_nodes):
                return f"{s.number} lacks a copy"
        return self._stale(groups, alive)

    def _stale(self, groups, alive) -> str:
        """A log of which some copy lacks bytes that are on a majority."""
        for s in groups.values():
            stores = [alive[d].part.log_store for d in s.storage_nodes]
            for name in {n for store in stores for n in store.logs}:
                if placement_group_of(name, self.placement_groups) != s.number:
                    continue
                copies = [store.logs.get(name) for store in stores]
                lengths = sorted((k.length if k else 0 for k in copies), reverse=True)
                slack = 0 if name.startswith("closed") else 200
                if lengths[-1] + slack < lengths[len(lengths) // 2]:
                    return f"{name} is stale on one of {s.number}"
        return ""

    def votes_lacking(self) -> str:
        leader = self.leader()
        if leader is None:
            return "no leader"
        voters = set(leader.part.consensus.cluster_state.voters)
        alive = {a.node: a for a in self.role("controller", alive=True)}
        if len(voters) != 2 * self.losses + 1 or not voters <= set(alive):
            return f"{len(voters)} voters, {len(voters - set(alive))} of them away"
        behind = [v for v in voters if alive[v].part.consensus.commit_index + 10 < leader.part.consensus.commit_index]
        return f"{behind} lag" if behind else ""

    def lose(self, simulated_node, kind: str):
        """Brings the loss about; returns once the machine, or its successor, is back."""
        others = [a for a in self.simulated_nodes if a != simulated_node.name]
        if kind in ("wiped", "wiped_late", "killed", "power"):
            simulated_node.kill(power=kind != "killed")
            if kind.startswith("wiped"):
                simulated_node.wipe()
            self.run(0.1 if kind == "wiped" else 2 * AWAY if kind == "wiped_late" else AWAY)
            simulated_node.start()
        elif kind == "replaced":
            simulated_node.kill(power=True)
            self.run(1)
            self.successor(simulated_node)
        elif kind == "planned":
            self.successor(simulated_node)
            self.run(0.3)
            spawn(simulated_node.part.end())
            self.run(0.1)
            simulated_node.kill()
        elif kind == "frozen":
            simulated_node.freeze()
            self.run(2 * AWAY)
            simulated_node.thaw()
        elif kind == "cut":
            self.cut([simulated_node.name], others)
            self.run(2 * AWAY)
            self.heal()

    def successor(self, simulated_node):
        self._added += 1
        name = f"{simulated_node.role}s{self._added}"
        self.add(simulated_node.role, name, simulated_node.zone, 2000 + self._added).start()
        return self.simulated_nodes[name]

    def wait_whole(self, limit: float) -> float:
        """How long until all logs and votes are whole again."""
        since = self.clock.seconds()
        while self.lacking() or self.votes_lacking():
            if self.clock.seconds() - since > limit:
                raise AssertionError(
                    f"seed {self.seed}: not whole within {limit} s: {self.lacking()}, {self.votes_lacking()}"
                )
            self.run(0.05)
        return self.clock.seconds() - since

    def wrong(self) -> list[str]:
        """What was acknowledged and is not there."""
        self.over = True
        self.run(4)
        self.ready()
        bad = []
        for name, acked in self.acked.items():
            found = self._read(name)
            bad += [f"{name} at {at}" for at, body in acked.items() if found.get(at) != body]
        done = {o.edit: o.sequence for o in self.leader().part.consensus.cluster_state.outcomes.values()}
        return bad + [e for e, sequence in self.edits.items() if done.get(e) != sequence]

    def _read(self, name: str) -> dict[int, bytes]:
        """All that the log holds for a new leaseholder, or nothing where none can be."""
        log = self.gateway().replicated_log
        for _ in range(10):
            try:
                h = self.do(log.acquire(name), 30)
            except PipitlinkError:
                self.run(0.5)
                continue
            self.do(log.release([h]))
            return {at: body for at, body, _ in decode_frames(bytes(h.data))}
        return {}
