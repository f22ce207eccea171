"""Lists logs and determines how much of each is committed, from the responses of their storage nodes."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from twisted.internet import defer

from ..context import Context
from ..timers import ms, secs
from ..wire.replicated_log_pb2 import ListRequest, LogState, StatesRequest, StatesResponse
from .commit_proof import merge_states
from .placement_group import PlacementGroup
from .storage_client import StorageClient

__all__ = ["LogListing", "LogStates"]

GRACE_PERIOD: timedelta = ms(50)
"""How long to wait for the remaining storage nodes once a quorum of each placement group has responded."""

LIST_TIMEOUT: timedelta = secs(1)

StatesByNode = dict[str, LogState]


class LogListing(NamedTuple):
    """The logs that were found, by name; `complete` if enough storage nodes responded that none is missing."""

    states: dict[str, LogState]
    complete: bool


class LogStates:
    """Reads the states of logs from their storage nodes."""

    def __init__(self, ctx: Context, client: StorageClient) -> None:
        self._ctx = ctx
        self._client = client

    async def read(self, logs: list[str]) -> dict[str, LogState]:
        """Returns the committed state of each log; omits logs for which no quorum responded."""
        logs_by_node: dict[str, list[str]] = {}
        for log in logs:
            for node in self._client.placement_group(log).all_nodes:
                logs_by_node.setdefault(node, []).append(log)
        query = _StatesQuery(self._ctx, self._client, logs, len(logs_by_node))
        for node, node_logs in logs_by_node.items():
            self._ctx.run_in_background(query.request_states(node, node_logs), "read_states")
        if logs_by_node:
            await query.complete
        return query.merged()

    async def list(self, request: ListRequest) -> LogListing:
        """Returns the logs that match a request, from the storage nodes that respond.

        Waits for all storage nodes, or, if only open logs are requested, for a quorum of each placement group.
        """
        cluster = self._ctx.cluster
        placement_groups = [cluster.placement_group(number) for number in range(cluster.placement_groups)]
        storage_nodes = sorted({node for group in placement_groups for node in group.all_nodes})
        responses = await self._client.call_each(
            storage_nodes,
            "replicated_log.list",
            request,
            StatesResponse,
            LIST_TIMEOUT,
            enough=_quorum_of_each(placement_groups) if request.open_only else None,
        )
        states: dict[str, StatesByNode] = {}
        for node, response in responses.items():
            for state in response.states:
                states.setdefault(state.log, {})[node] = state
        merged = {log: merge_states(self._client.placement_group(log), by_node) for log, by_node in states.items()}
        return LogListing(merged, all(group.is_quorum(responses) for group in placement_groups))


def _quorum_of_each(placement_groups: list[PlacementGroup]) -> Callable[[dict[str, StatesResponse]], bool]:
    return lambda responses: all(group.is_quorum(responses) for group in placement_groups)


class _StatesQuery:
    """The responses to one state query.

    `complete` fires once all nodes have responded, or GRACE_PERIOD after a quorum has responded for each log.
    """

    def __init__(self, ctx: Context, client: StorageClient, logs: list[str], node_count: int) -> None:
        self._ctx = ctx
        self._client = client
        self._states: dict[str, StatesByNode] = {log: {} for log in logs}
        self._pending = node_count
        self.complete: defer.Deferred[None] = defer.Deferred()

    async def request_states(self, node: str, logs: list[str]) -> None:
        """Requests the states of logs from one storage node; if the call fails, its states are missing."""
        request = StatesRequest(logs=logs)
        responses = await self._client.call_each([node], "replicated_log.states", request, StatesResponse)
        if node in responses:
            for state in responses[node].states:
                self._states[state.log][node] = state
        self._pending -= 1
        if not self._pending:
            self._finish()
        elif self._has_quorums():
            self._ctx.timers.call_later(GRACE_PERIOD, self._finish)

    def _has_quorums(self) -> bool:
        return all(self._client.placement_group(log).is_quorum(states) for log, states in self._states.items())

    def _finish(self) -> None:
        if not self.complete.called:
            self.complete.callback(None)

    def merged(self) -> dict[str, LogState]:
        """Returns the merged state of each log for which a quorum has responded."""
        merged = {}
        for log, states in self._states.items():
            placement_group = self._client.placement_group(log)
            if placement_group.is_quorum(states):
                merged[log] = merge_states(placement_group, states)
        return merged
