"""The gateways' proof of the newest cluster state in abstract time: led, witnessed, lapsed, and when a change is told.

Two controllers may lead one after the other, one gateway asks them, three or four storage nodes witness. Time goes by
in ticks, and every span keeps its order among the others: what a voter waits before it hears another leader is longer
than what a leader counts on, and what a gateway admits by is shorter than what a leader remembers. Answers may be
as late as they like. A voter counts from when it heard, which is at or after the time that its leader counts from.
"""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from . import properties
from .properties import Admitted, Change

__all__ = ["Proofs"]

NEVER = 99


class Leader(NamedTuple):
    """Ages in ticks: since a majority was heard, since its election, since the gateway asked it with `shown`."""

    heard: int = NEVER
    elected: int = NEVER
    agreed: bool = False
    asked: int = NEVER
    shown: bool = False


class Gateway(NamedTuple):
    """`new` says whether it has the change; an answer under way carries what it will prove, and how old it is."""

    new: bool = False
    led: int = NEVER
    proved: int = NEVER
    answer: tuple = ()
    asking: int = NEVER


class Witness(NamedTuple):
    """Whether it has the change, and what it showed to the question that the gateway asks: nothing, old or new."""

    new: bool = False
    shown: str = ""


class State(NamedTuple):
    first: Leader
    second: Leader
    gateway: Gateway
    witnesses: tuple[Witness, ...]
    told: int = NEVER


@attrs.frozen
class Proofs:
    """The model's spans in ticks, and the guards that a mutation takes out. One of both proofs may be left out."""

    witnesses: int = 3
    by_leaders: bool = True
    by_witnesses: bool = True
    fresh: int = 3
    sticky: int = 3
    own: int = 3
    lease: int = 4
    proof: int = 2
    voters_wait: bool = True
    leader_is_heard: bool = True
    gateways_confirm: bool = True
    new_leader_waits: bool = True
    enough_witnesses: bool = True
    half_needs_even: bool = True
    counted_from_the_question: bool = True
    proof_needs_majority: bool = True

    @property
    def most(self) -> int:
        return max(self.lease, self.own, self.sticky, self.proof) + 1

    def start(self) -> State:
        return State(Leader(0, self.most, False), Leader(), Gateway(), (Witness(),) * self.witnesses)

    def wrong(self, s: State) -> list[str]:
        if s.told == NEVER or s.gateway.new:
            return []
        changes, admitted = [Change(-s.told, 1)], [Admitted(0, "gateway", 0)]
        led = properties.no_old_state_admits(changes, admitted, -1) if s.gateway.led < self.own else []
        proved = s.gateway.proved < self.proof
        return led or (properties.no_old_state_admits(changes, admitted, self.proof) if proved else [])

    def steps(self, s: State) -> Iterator[tuple[str, State]]:
        yield "tick", self._tick(s)
        if self.by_leaders:
            yield from self._lead(s)
        for name in ("first", "second"):
            yield from self._agree(s, name)
            yield from self._tell(s, name)
            if self.by_leaders:
                yield from self._ask(s, name)
        yield from self._take(s)
        yield from self._follow(s)
        if self.by_witnesses:
            yield from self._witness(s)

    def _tick(self, s: State) -> State:
        def older(age: int) -> int:
            return age if age == NEVER else min(age + 1, self.most)

        def led(c: Leader) -> Leader:
            return c._replace(heard=older(c.heard), elected=older(c.elected), asked=older(c.asked))

        g = s.gateway
        answer = (g.answer[0], older(g.answer[1])) if g.answer else ()
        g = g._replace(led=older(g.led), proved=older(g.proved), answer=answer, asking=older(g.asking))
        return s._replace(first=led(s.first), second=led(s.second), gateway=g, told=older(s.told))

    def _lead(self, s: State):
        """The first leader hears its majority, until that majority has waited it out and elects the second."""
        if s.second.elected == NEVER:
            if s.first.heard:
                yield "hear first", s._replace(first=s.first._replace(heard=0))
            if s.first.heard >= self.sticky or not self.voters_wait:
                second = Leader(heard=0, elected=0, agreed=s.first.agreed)
                yield "elect", s._replace(second=second)
        elif s.second.heard:
            yield "hear second", s._replace(second=s.second._replace(heard=0))

    def _agree(self, s: State, name: str):
        """A majority has the change; only who leads the newest term can get that."""
        c = getattr(s, name)
        newest = "first" if s.second.elected == NEVER else "second"
        if name == newest and not c.agreed and c.heard == 0:
            yield f"agree {name}", s._replace(**{name: c._replace(agreed=True)})

    def _ask(self, s: State, name: str):
        """The gateway's question is on record at once; the answer is given while the leader is sure that it leads."""
        c, g = getattr(s, name), s.gateway
        sure = c.heard < self.fresh or (not self.leader_is_heard and c.heard != NEVER)
        if c.elected == NEVER or g.answer or not sure:
            return
        noted = c._replace(asked=0, shown=g.new)
        yield f"ask {name}", s._replace(**{name: noted}, gateway=g._replace(answer=(c.agreed, 0)))

    def _take(self, s: State):
        """The answer arrives, or is lost. What it proves counts from the question."""
        g = s.gateway
        if not g.answer:
            return
        new, age = g.answer
        led = min(g.led, age if self.counted_from_the_question else 0) if new or not g.new else g.led
        yield "answer", s._replace(gateway=g._replace(new=g.new or new, led=led, answer=()))
        yield "answer_lost", s._replace(gateway=g._replace(answer=()))

    def _tell(self, s: State, name: str):
        """The leader acknowledges the change."""
        c = getattr(s, name)
        if not c.agreed or s.told != NEVER:
            return
        if self.new_leader_waits and c.elected < self.lease:
            return
        if self.gateways_confirm and c.asked < self.lease and not c.shown:
            return
        have, least = sum(w.new for w in s.witnesses), len(s.witnesses) / 2
        enough = have >= (least if self.half_needs_even else len(s.witnesses) // 2)
        if enough or not self.enough_witnesses:
            yield f"tell {name}", s._replace(told=0)

    def _follow(self, s: State):
        """Storage nodes follow a leader that has the change."""
        if s.first.agreed or s.second.agreed:
            for w in {w for w in s.witnesses if not w.new}:
                yield "follow", s._replace(witnesses=_instead(s.witnesses, w, w._replace(new=True)))

    def _witness(self, s: State):
        """A gateway asks the storage nodes and collects what they show, each at its own time."""
        g = s.gateway
        if g.asking == NEVER:
            yield "ask_witnesses", s._replace(gateway=g._replace(asking=0))
            return
        for w in {w for w in s.witnesses if not w.shown}:
            after = w._replace(shown="new" if w.new else "old")
            yield f"shown {after.shown}", s._replace(witnesses=_instead(s.witnesses, w, after))
        shown = [w.shown for w in s.witnesses if w.shown]
        asked_again = tuple(sorted(w._replace(shown="") for w in s.witnesses))
        yield "end_witnesses", s._replace(gateway=self._proved(g, shown), witnesses=asked_again)

    def _proved(self, g: Gateway, shown: list[str]) -> Gateway:
        over = g._replace(new=g.new or "new" in shown, asking=NEVER)
        if 2 * len(shown) > self.witnesses or (shown and not self.proof_needs_majority):
            age = g.asking if self.counted_from_the_question else 0
            return over._replace(proved=min(g.proved, age))
        return over


def _instead(witnesses: tuple[Witness, ...], old: Witness, new: Witness) -> tuple[Witness, ...]:
    """Sorted, since it doesn't matter which storage node is which."""
    rest = list(witnesses)
    rest[rest.index(old)] = new
    return tuple(sorted(rest))
