from collections import Counter

from ..beats import secs
from ..faults import GuideFault
from ..setup import Sheet
from ..wire.setup_pb2 import Command, DepotEdit, ShelfRow, Shelving as ShelvingRow

__all__ = ["Shelving"]

COPIES = 3
SETTLE = secs(2)


class Shelving:
    """Mixin: the leader places shelves on depots, zones kept distinct where possible."""

    async def _shelve_beat(self):
        if self.state != "leader" or self.archive.term_at(self.commit) != self.term:
            return
        if self._ctx.beats.now() - self._elected_at < SETTLE / 2:
            return
        if await self._admit_depot():
            return
        if not self.sheet.shelves:
            await self._first_shelves()

    async def _proved(self, c: Command):
        """One change of the witnesses at a time, each in effect before the next."""
        await self.edit(c, secs(3))

    async def _admit_depot(self) -> bool:
        for m in self._ctx.roster.members("depot", standing=("alive",)):
            if m.node not in self.sheet.depots and m.node in self.followers:
                await self._proved(Command(depot=DepotEdit(depot=m.node, standing="serving")))
                self._ctx.journal.note("depot_admitted", depot=m.node, zone=m.zone)
                return True
        return False

    def _zone(self, depot: str) -> str:
        m = self._ctx.roster.find(depot)
        return m.zone if m is not None else ""

    def _serving(self) -> list[str]:
        return [d for d, s in self.sheet.depots.items()
                if s == "serving" and self._ctx.roster.standing(d) == "alive"]

    async def _first_shelves(self):
        depots = self._serving()
        if len(depots) < COPIES:
            return
        held: Counter = Counter()
        rows = []
        for n in range(self._ctx.props.shelves):
            picked: list[str] = []
            while len(picked) < COPIES:
                picked.append(self._pick_depot(depots, picked, held))
                held[picked[-1]] += 1
            rows.append(ShelfRow(number=n, sequence=1, depots=picked))
        await self._propose(Command(shelving=ShelvingRow(shelves=rows)))
        self._ctx.journal.note("shelved", shelves=len(rows), depots=len(depots))

    def _pick_depot(self, depots, beside, held) -> str:
        zones = {self._zone(d) for d in beside}
        free = [d for d in depots if d not in beside]
        return min(free, key=lambda d: (self._zone(d) in zones, held[d], d))

    def check_retirement(self, sheet: Sheet, depot: str):
        rest = [d for d, s in sheet.depots.items() if s == "serving" and d != depot]
        if len(rest) < COPIES:
            raise GuideFault(f"{len(rest)} depots would be left and each shelf needs {COPIES}", code="too_few_copies",
                             status=409, outcome="not_run")
