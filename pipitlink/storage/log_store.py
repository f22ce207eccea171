"""The replicas of all logs on one storage node, and the rules of epochs and positions."""

import bisect
from pathlib import Path

import attrs

from ..disk import Disk
from ..errors import StaleEpoch, StorageFull
from ..segments import Position, Segments
from ..wire.replicated_log_pb2 import Entry, LogState

__all__ = ["LogStore", "Kept"]


@attrs.define(eq=False)
class Kept:
    """One log as this storage node keeps it. `epoch` is the highest promised, `tail_epoch` that of its last writer."""

    log: str
    epoch: int = 0
    granted: int = 0
    tail_epoch: int = 0
    length: int = 0
    committed: int = 0
    final: bool = False
    closed_ms: int = 0
    promise_spot: Position | None = None
    stamp_spot: Position | None = None
    starts: list[int] = attrs.field(factory=list)
    extents: list[tuple[int, int, Position]] = attrs.field(factory=list)
    synced: tuple[int, int, bool] = (0, 0, False)

    def stands_in(self, n: int) -> bool:
        """Whether anything that counts for this log lies in that file."""
        spots = [self.promise_spot, self.stamp_spot, *(spot for _, _, spot in self.extents)]
        return any(spot is not None and spot[0] == n for spot in spots)

    def cut(self, position: int):
        while self.extents and self.extents[-1][0] >= position:
            self.extents.pop()
            self.starts.pop()
        if self.extents:
            start, length, spot = self.extents[-1]
            if start + length > position:
                self.extents[-1] = (start, position - start, spot)
        self.length = position

    def add(self, length: int, spot: Position):
        if length:
            self.starts.append(self.length)
            self.extents.append((self.length, length, spot))
            self.length += length


class LogStore:
    """The logs of one storage node: what each holds, and the rules an entry must meet."""

    def __init__(self, folder: Path, disk: Disk, budget: int, reserve: int):
        self.segments = Segments(folder, disk)
        self.budget = budget
        self.reserve = reserve
        self.logs: dict[str, Kept] = {}
        self.forgets: set[int] = set()

    def recover(self):
        self.logs = {}
        for spot, body in self.segments.recover():
            self._replay(Entry.FromString(body), spot, len(body))
        for k in self.logs.values():
            k.synced = (k.tail_epoch, k.length, k.final)
            k.granted = k.epoch

    def _replay(self, e: Entry, spot: Position, size: int):
        if e.kind == Entry.NOTHING:
            return
        if e.kind == Entry.FORGET:
            self.logs.pop(e.log, None)
            self.forgets.add(spot[0])
            return
        k = self.logs.setdefault(e.log, Kept(e.log))
        k.epoch = max(k.epoch, e.epoch)
        if e.kind == Entry.PROMISE:
            k.promise_spot = spot
            return
        if e.kind == Entry.WITHER:
            self._wither(k, e, spot)
            return
        self._apply(k, e, spot, size)

    def _apply(self, k: Kept, e: Entry, spot: Position, size: int):
        if e.position < k.length:
            k.cut(e.position)
        k.add(len(e.data), (spot[0], spot[1] + size - len(e.data)))
        k.stamp_spot = spot
        k.tail_epoch = e.epoch
        k.final = e.final
        k.closed_ms = e.closed_ms
        k.committed = min(max(k.committed, e.committed), k.length)

    def used(self) -> int:
        return self.segments.used_bytes()

    def state(self, log: str) -> LogState:
        k = self.logs.get(log)
        if k is None:
            return LogState(log=log)
        tail_epoch, length, final = k.synced
        return LogState(
            log=log,
            epoch=k.epoch,
            tail_epoch=tail_epoch,
            length=length,
            committed=min(k.committed, length),
            final=final,
            closed_ms=k.closed_ms,
        )

    def promise(self, log: str, epoch: int, ticket, granted: bool = True) -> None:
        k = self.logs.setdefault(log, Kept(log))
        if epoch <= k.epoch:
            raise StaleEpoch(f"{log}: epoch {k.epoch} is promised")
        self._room(64, True)
        k.epoch = epoch
        if granted:
            k.granted = epoch
        e = Entry(kind=Entry.PROMISE, log=log, epoch=epoch)
        k.promise_spot = self.segments.append(e.SerializeToString(), ticket)

    def room(self) -> int:
        """Bytes that may still be taken before the reserve is touched."""
        return max(0, self.budget - self.reserve - self.used())

    def _room(self, size: int, reserved: bool):
        most = self.budget if reserved else self.budget - self.reserve
        if self.used() + size > most:
            raise StorageFull(f"the data folder holds {self.used()} of {self.budget} bytes")

    def write(
        self, e: Entry, expect_tail_epoch: int, expect_length: int, reserved: bool, ticket, copied: bool = False
    ) -> bool:
        """Queues a write; False if this replica does not stand where the writer expects."""
        k = self.logs.setdefault(e.log, Kept(e.log))
        if e.epoch < k.epoch and not copied:
            raise StaleEpoch(f"{e.log}: epoch {k.epoch} is promised")
        if (k.tail_epoch, k.length) != (expect_tail_epoch, expect_length) or e.position > k.length:
            return False
        if e.position < k.committed:
            raise StaleEpoch(f"{e.log}: bytes below {k.committed} are committed")
        self._room(len(e.data) + 128, reserved)
        k.epoch = max(k.epoch, e.epoch)
        body = _packed(e)
        self._apply(k, e, self.segments.append(body, ticket), len(body))
        return True

    def copy(self, e: Entry, expect_tail_epoch: int, expect_length: int, ticket) -> bool:
        """A copy of another storage node's state; never where a later leaseholder has already counted on what is
        here.
        """
        k = self.logs.get(e.log)
        if k is not None and k.granted > e.epoch:
            raise StaleEpoch(f"{e.log}: epoch {k.granted} was granted here")
        return self.write(e, expect_tail_epoch, expect_length, True, ticket, copied=True)

    def settle(self, log: str, tail_epoch: int, length: int, final: bool):
        k = self.logs.get(log)
        if k is not None:
            k.synced = (tail_epoch, length, final)

    def spans(self, log: str, position: int, length: int) -> list[tuple[Position, int]]:
        """Where the synced bytes of a stretch lie: (place of bytes, count) in order."""
        k = self.logs.get(log)
        if k is None:
            return []
        end = min(position + length, k.synced[1])
        out = []
        i = max(0, bisect.bisect_right(k.starts, position) - 1)
        while i < len(k.extents) and position < end:
            start, size, (n, at) = k.extents[i]
            skip = position - start
            take = min(size - skip, end - position)
            if take > 0:
                out.append(((n, at + skip), take))
                position += take
            i += 1
        return out

    def wither(self, log: str, ticket):
        """Drops a final log's bytes and keeps that it was final."""
        k = self.logs[log]
        e = Entry(kind=Entry.WITHER, log=log, epoch=k.tail_epoch, final=True, closed_ms=k.closed_ms)
        self._wither(k, e, self.segments.append(e.SerializeToString(), ticket))
        k.synced = (k.tail_epoch, 0, True)

    def _wither(self, k: Kept, e: Entry, spot: Position):
        k.cut(0)
        k.tail_epoch, k.final, k.closed_ms, k.committed, k.stamp_spot = e.epoch, True, e.closed_ms, 0, spot

    def rewrite(self, k: Kept, data: bytes, ticket):
        """The whole log once more, at the end of the newest file."""
        e = Entry(kind=Entry.PROMISE, log=k.log, epoch=k.epoch)
        k.promise_spot = self.segments.append(e.SerializeToString(), None)
        e = Entry(
            kind=Entry.WRITE if data or not k.final else Entry.WITHER,
            log=k.log,
            epoch=k.tail_epoch,
            data=data,
            final=k.final,
            committed=k.committed,
            closed_ms=k.closed_ms,
        )
        body = _packed(e)
        spot = self.segments.append(body, ticket)
        if e.kind == Entry.WITHER:
            self._wither(k, e, spot)
        else:
            k.cut(0)
            self._apply(k, e, spot, len(body))

    def forget(self, log: str, ticket):
        self.logs.pop(log, None)
        n, _ = self.segments.append(Entry(kind=Entry.FORGET, log=log).SerializeToString(), ticket)
        self.forgets.add(n)

    def close(self):
        self.segments.close()


def _packed(e: Entry) -> bytes:
    """The entry with its data last, so that log bytes lie in one stretch of the file."""
    head = Entry()
    head.CopyFrom(e)
    head.ClearField("data")
    if not e.data:
        return head.SerializeToString()
    return head.SerializeToString() + Entry(data=e.data).SerializeToString()
