"""A model in abstract time of how a gateway proves that its cluster state is current.

It covers leases granted by leaders, proofs by witnesses, their expiry, and when a change may be acknowledged.

Two controllers may lead one after the other. One gateway polls them, and three or four storage nodes are witnesses.
Time passes in ticks, and the spans are ordered as in the code: a voter waits at least as long before it accepts
another leader as a leader relies on its last contact to a majority, and the gateway's lease is shorter than the lease
that the leader remembers. Responses may be delayed without limit. A voter's span starts when it received the leader's
message, which is at or after the time from which its leader counts.
"""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from . import properties
from .properties import Admitted, Change

__all__ = ["Proofs"]

NEVER = 99


class Leader(NamedTuple):
    """A controller as leader: ticks since its contact to a majority, its election and the gateway's last request.

    `gateway_had_change` says whether the gateway had the change when it sent that request.
    """

    quorum_age: int = NEVER
    election_age: int = NEVER
    has_change: bool = False
    request_age: int = NEVER
    gateway_had_change: bool = False


class Gateway(NamedTuple):
    """The gateway, with the ages in ticks of its lease, its proof by witnesses and its current poll of them.

    A response in transit carries whether its leader has the change, and its age.
    """

    has_change: bool = False
    lease_age: int = NEVER
    proof_age: int = NEVER
    response: tuple = ()
    poll_age: int = NEVER


class Witness(NamedTuple):
    """A storage node: whether it has the change, and the state it reported in the current poll, if any: old or new."""

    has_change: bool = False
    reported: str = ""


class State(NamedTuple):
    first: Leader
    second: Leader
    gateway: Gateway
    witnesses: tuple[Witness, ...]
    acknowledged_age: int = NEVER


@attrs.frozen
class Proofs:
    """The model: its spans in ticks, and the safeguards of the protocol, which mutation tests disable.

    Gateways prove that their state is current by leases from leaders, by witnesses, or both.
    """

    witnesses: int = 3
    by_leaders: bool = True
    by_witnesses: bool = True
    leadership_span: int = 3
    leader_stickiness: int = 3
    follower_lease_span: int = 3
    lease_span: int = 4
    witness_proof_span: int = 2
    voters_wait: bool = True
    leader_needs_recent_quorum: bool = True
    gateways_confirm: bool = True
    new_leader_waits: bool = True
    needs_enough_witnesses: bool = True
    rounds_half_up: bool = True
    counts_from_request: bool = True
    proof_needs_majority: bool = True

    @property
    def max_age(self) -> int:
        return max(self.lease_span, self.follower_lease_span, self.leader_stickiness, self.witness_proof_span) + 1

    def start(self) -> State:
        return State(Leader(0, self.max_age, False), Leader(), Gateway(), (Witness(),) * self.witnesses)

    def violations(self, state: State) -> list[str]:
        if state.acknowledged_age == NEVER or state.gateway.has_change:
            return []
        changes, admitted = [Change(-state.acknowledged_age, 1)], [Admitted(0, "gateway", 0)]
        by_lease = (
            properties.no_stale_admission(changes, admitted, -1)
            if state.gateway.lease_age < self.follower_lease_span
            else []
        )
        has_proof = state.gateway.proof_age < self.witness_proof_span
        return by_lease or (
            properties.no_stale_admission(changes, admitted, self.witness_proof_span) if has_proof else []
        )

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "tick", self._tick(state)
        if self.by_leaders:
            yield from self._step_leaders(state)
        for name in ("first", "second"):
            yield from self._commit(state, name)
            yield from self._acknowledge(state, name)
            if self.by_leaders:
                yield from self._ask(state, name)
        yield from self._receive(state)
        yield from self._follow(state)
        if self.by_witnesses:
            yield from self._witness(state)

    def _tick(self, state: State) -> State:
        def older(age: int) -> int:
            return age if age == NEVER else min(age + 1, self.max_age)

        def aged(leader: Leader) -> Leader:
            return leader._replace(
                quorum_age=older(leader.quorum_age),
                election_age=older(leader.election_age),
                request_age=older(leader.request_age),
            )

        gateway = state.gateway
        response = (gateway.response[0], older(gateway.response[1])) if gateway.response else ()
        gateway = gateway._replace(
            lease_age=older(gateway.lease_age),
            proof_age=older(gateway.proof_age),
            response=response,
            poll_age=older(gateway.poll_age),
        )
        return state._replace(
            first=aged(state.first),
            second=aged(state.second),
            gateway=gateway,
            acknowledged_age=older(state.acknowledged_age),
        )

    def _step_leaders(self, state: State):
        """The first leader may renew contact to its majority, which elects the second once its stickiness has ended."""
        if state.second.election_age == NEVER:
            if state.first.quorum_age:
                yield "hear first", state._replace(first=state.first._replace(quorum_age=0))
            if state.first.quorum_age >= self.leader_stickiness or not self.voters_wait:
                second = Leader(quorum_age=0, election_age=0, has_change=state.first.has_change)
                yield "elect", state._replace(second=second)
        elif state.second.quorum_age:
            yield "hear second", state._replace(second=state.second._replace(quorum_age=0))

    def _commit(self, state: State, name: str):
        """Commits the change at a majority, which only the leader of the newest term can do."""
        leader = getattr(state, name)
        newest = "first" if state.second.election_age == NEVER else "second"
        if name == newest and not leader.has_change and leader.quorum_age == 0:
            yield f"agree {name}", state._replace(**{name: leader._replace(has_change=True)})

    def _ask(self, state: State, name: str):
        """The leader records the gateway's request and responds, as long as it may assume that it leads."""
        leader, gateway = getattr(state, name), state.gateway
        sure = leader.quorum_age < self.leadership_span or (
            not self.leader_needs_recent_quorum and leader.quorum_age != NEVER
        )
        if leader.election_age == NEVER or gateway.response or not sure:
            return
        asked_leader = leader._replace(request_age=0, gateway_had_change=gateway.has_change)
        yield (
            f"ask {name}",
            state._replace(**{name: asked_leader}, gateway=gateway._replace(response=(leader.has_change, 0))),
        )

    def _receive(self, state: State):
        """The response arrives or is lost. The lease starts when the request was sent."""
        gateway = state.gateway
        if not gateway.response:
            return
        has_change, age = gateway.response
        lease_age = (
            min(gateway.lease_age, age if self.counts_from_request else 0)
            if has_change or not gateway.has_change
            else gateway.lease_age
        )
        yield (
            "answer",
            state._replace(
                gateway=gateway._replace(has_change=gateway.has_change or has_change, lease_age=lease_age, response=())
            ),
        )
        yield "answer_lost", state._replace(gateway=gateway._replace(response=()))

    def _acknowledge(self, state: State, name: str):
        """The leader acknowledges the change, once no gateway may admit work without it."""
        leader = getattr(state, name)
        if not leader.has_change or state.acknowledged_age != NEVER:
            return
        if self.new_leader_waits and leader.election_age < self.lease_span:
            return
        if self.gateways_confirm and leader.request_age < self.lease_span and not leader.gateway_had_change:
            return
        informed, least = sum(witness.has_change for witness in state.witnesses), len(state.witnesses) / 2
        enough = informed >= (least if self.rounds_half_up else len(state.witnesses) // 2)
        if enough or not self.needs_enough_witnesses:
            yield f"tell {name}", state._replace(acknowledged_age=0)

    def _follow(self, state: State):
        """Storage nodes receive the change from a leader that has it."""
        if state.first.has_change or state.second.has_change:
            for witness in {witness for witness in state.witnesses if not witness.has_change}:
                yield (
                    "follow",
                    state._replace(witnesses=_replaced(state.witnesses, witness, witness._replace(has_change=True))),
                )

    def _witness(self, state: State):
        """The gateway polls the storage nodes, which report at different times."""
        gateway = state.gateway
        if gateway.poll_age == NEVER:
            yield "ask_witnesses", state._replace(gateway=gateway._replace(poll_age=0))
            return
        for witness in {witness for witness in state.witnesses if not witness.reported}:
            after = witness._replace(reported="new" if witness.has_change else "old")
            yield f"shown {after.reported}", state._replace(witnesses=_replaced(state.witnesses, witness, after))
        reported = [witness.reported for witness in state.witnesses if witness.reported]
        reset_witnesses = tuple(sorted(witness._replace(reported="") for witness in state.witnesses))
        yield "end_witnesses", state._replace(gateway=self._with_proof(gateway, reported), witnesses=reset_witnesses)

    def _with_proof(self, gateway: Gateway, reported: list[str]) -> Gateway:
        finished = gateway._replace(has_change=gateway.has_change or "new" in reported, poll_age=NEVER)
        if 2 * len(reported) > self.witnesses or (reported and not self.proof_needs_majority):
            age = gateway.poll_age if self.counts_from_request else 0
            return finished._replace(proof_age=min(gateway.proof_age, age))
        return finished


def _replaced(witnesses: tuple[Witness, ...], old: Witness, new: Witness) -> tuple[Witness, ...]:
    """Returns the witnesses sorted, since storage nodes are interchangeable."""
    rest = list(witnesses)
    rest[rest.index(old)] = new
    return tuple(sorted(rest))
