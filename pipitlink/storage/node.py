"""The storage node, put together from its mixins."""

import json
from pathlib import Path

from ..context import random_id
from ..disk import Disk, replace_file
from ..errors import SettingsError, StalePlacement, StorageFull
from ..group_commit import GroupCommit
from ..replicated_log.placement_group import placement_group_of
from ..timers import ms
from ..wire.replicated_log_pb2 import (
    Entry,
    ListRequest,
    MarkRequest,
    ReadRequest,
    ReadResponse,
    States,
    StatesRequest,
    WriteRequest,
    WriteResponse,
)
from .copying import Copying
from .grants import Grants
from .keeping import Keeping
from .log_store import LogStore

__all__ = ["StorageNode", "node_id"]

MAX_READ = 8 * 1024 * 1024
MAX_LOG = 64 * 1024 * 1024
MAX_STAGED = 16
START_SPAN = ms(500)


def node_id(folder: Path, fleet: str) -> str:
    """The node's own id, kept in its data folder; an empty folder makes a new node."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "node.json"
    if path.exists():
        kept = json.loads(path.read_text())
        if kept["fleet"] != fleet:
            raise SettingsError([f"data: {folder} belongs to fleet {kept['fleet']!r}, not {fleet!r}"])
        return kept["node"]
    node = random_id()
    replace_file(path, json.dumps({"fleet": fleet, "node": node}).encode())
    return node


class StorageNode(Grants, Copying, Keeping):
    """A storage node: answers reads and writes of its replicas of logs.

    The mixins work on one log store through one syncer, so that their writes share group syncs:

    - Grants grants leases; an epoch that was granted or promised fences the writers of lower ones.
    - Copying brings replicas up to date from peers when this node joins a placement group or was away.
    - Keeping drops ended logs after their retention and compacts segment files.

    This class owns log store and syncer, and checks that a writer knows the newest placement.
    """

    def __init__(self, ctx, disk: Disk | None = None):
        self._ctx = ctx
        budget = ctx.settings.budget_mb * 1024 * 1024
        self.log_store = LogStore(
            Path(ctx.settings.data) / "logs", disk or Disk(), budget, max(budget // 10, 1024 * 1024)
        )
        self._group_commit = GroupCommit(ctx, self.log_store.segments, self.log_store.recover)
        self._staged: dict[tuple[str, int], bytes] = {}

    def open(self):
        self.log_store.recover()
        self._ctx.logger.info("recovered", logs=len(self.log_store.logs), used=self.log_store.used_bytes())
        self._open_grants()
        self._open_copying()
        self._open_keeping()
        d = self._ctx.rpc
        d.register_handler("replicated_log.write", WriteRequest, self._write)
        d.register_handler("replicated_log.mark", MarkRequest, self._mark)
        d.register_handler("replicated_log.read", ReadRequest, self._read)
        d.register_handler("replicated_log.states", StatesRequest, self._states)
        d.register_handler("replicated_log.list", ListRequest, self._list)

    async def _write(self, node, ask: WriteRequest):
        await self._check_placement_group(ask.log, ask.placement_group_sequence)
        key = (ask.log, ask.epoch)
        if ask.staged:
            return self._stage(key, ask)
        data = self._staged.pop(key, b"")[: ask.staged_bytes] + ask.data
        if len(data) != ask.staged_bytes + len(ask.data):
            return WriteResponse(why="elsewhere", state=self._state(ask.log))
        e = Entry(
            kind=Entry.WRITE,
            log=ask.log,
            epoch=ask.epoch,
            position=ask.position,
            data=data,
            final=ask.final,
            committed=ask.committed,
            closed_ms=ask.closed_ms,
        )
        ticket = self._group_commit.submit(
            lambda t: self.log_store.write(e, ask.expect_tail_epoch, ask.expect_length, ask.reserved, t)
        )
        if ticket is None:
            return WriteResponse(why="elsewhere", state=self._state(ask.log))
        end = ask.position + len(data)
        await ticket
        self.log_store.settle(ask.log, ask.epoch, end, ask.final)
        return WriteResponse(done=True, state=self._state(ask.log))

    def _stage(self, key, ask: WriteRequest) -> WriteResponse:
        """Keeps a part of a long mend until its last part makes it one entry."""
        have = b"" if ask.position == 0 else self._staged.get(key, b"")
        if len(have) != ask.position or len(self._staged) > MAX_STAGED or len(have) > MAX_LOG:
            raise StorageFull(f"{ask.log}: this part does not follow on what is staged")
        self._staged[key] = have + ask.data
        return WriteResponse(done=True)

    async def _mark(self, node, ask: MarkRequest):
        k = self.log_store.logs.get(ask.log)
        if k is not None and k.tail_epoch == ask.epoch:
            k.committed = max(k.committed, min(ask.committed, k.length))

    async def _read(self, node, ask: ReadRequest):
        spans = self.log_store.extents(ask.log, ask.position, min(ask.length, MAX_READ))
        return ReadResponse(data=await self._ctx.run_in_thread(self._gather, spans))

    def _gather(self, spans) -> bytes:
        return b"".join(self.log_store.segments.read_bytes(spot, n) for spot, n in spans)

    async def _states(self, node, ask: StatesRequest):
        return States(states=[self._state(log) for log in ask.logs[:4096]])

    async def _list(self, node, ask: ListRequest):
        kept = ((n, k) for n, k in self.log_store.logs.items() if n.startswith(ask.prefix))
        names = sorted(n for n, k in kept if not ask.open_only or k.length and not k.synced[2])
        if ask.one_placement_group:
            names = (
                n for n in names if placement_group_of(n, self._ctx.cluster.placement_groups) == ask.placement_group
            )
        return States(
            states=[self._state(n) for n in names],
            placement_group_sequence=self._ctx.cluster.placement_group(ask.placement_group).sequence
            if ask.one_placement_group
            else 0,
        )

    async def _check_placement_group(self, log: str, sequence: int):
        """A writer that counts on an older placement must look again before it goes on.

        The placement is not kept on disk: a storage node that has just started knows it only once it has followed a
        leader, and until then it might agree with a writer that was left behind.
        """
        if not await self._ctx.cluster.wait_until_caught_up(START_SPAN):
            raise StalePlacement("this storage node has not heard the newest placement since it started")
        placement_group = self._ctx.cluster.placement_group(placement_group_of(log, self._ctx.cluster.placement_groups))
        if sequence < placement_group.sequence:
            raise StalePlacement(
                f"placement group {placement_group.number} is at sequence {placement_group.sequence}, not {sequence}"
            )

    def readiness(self):
        used, room = self.log_store.used_bytes(), self.log_store.room()
        return True, {"used": used, "room": room, "budget": self.log_store.budget, "logs": len(self.log_store.logs)}

    def beliefs(self) -> dict:
        states = [self._state(n) for n in sorted(self.log_store.logs)]
        placement_groups = self._ctx.cluster.placement_groups
        return {
            "logs": {
                f"{placement_group_of(s.log, placement_groups)}/{s.log}": (
                    f"epoch={s.tail_epoch} length={s.length} final={s.final}"
                )
                for s in states
            },
            "leases": {s.log: f"{s.leaseholder}@{s.epoch}" for s in states if s.leaseholder},
        }

    def metrics(self) -> dict:
        return {
            "disk_used_bytes": ("Bytes of the data folder in use", self.log_store.used_bytes()),
            "disk_room_bytes": ("Bytes before the reserve is touched", self.log_store.room()),
            "logs": ("Logs kept", len(self.log_store.logs)),
        }

    async def end(self):
        await self._ctx.membership.leave()
        self.close()

    def close(self):
        self.log_store.close()
