"""The invariant that no accepted item is left lying, checked throughout a simulated run."""

import attrs

__all__ = ["MAX_IDLE_SECONDS", "ItemLiveness"]

CHECK_SECONDS = 0.2
# The sum of the longest waits of an item whose gateway is lost, with few gateways; see docs/control.md, section 7.
MAX_IDLE_SECONDS = 12.0


@attrs.define
class _ItemState:
    """Since when an item that is not listed has been at no engine, though it was calm and there was room."""

    idle_since: float | None = None
    reported: bool = False


class ItemLiveness:
    """Checks that each accepted item that is not listed is at an engine, or starts again within MAX_IDLE_SECONDS.

    Time counts only while it is calm, which `is_calm` tells, and while the engines have room. `violations` describes
    each item that is left lying, with the state that its gateway reports.
    """

    def __init__(self, simulation, network, clients, is_calm):
        self._simulation, self._network, self._clients = simulation, network, clients
        self._is_calm = is_calm
        self._items: dict[str, _ItemState] = {}
        self.violations: list[str] = []
        self.longest_idle = 0.0
        self._check()

    def _check(self) -> None:
        now = self._simulation.clock.seconds()
        can_run = self._is_calm() and self._network.has_room()
        at_engines = {run.item for run in self._network.runs if run.ended_at is None}
        for name in self._clients.accepted:
            if name in self._clients.cancelled:
                continue
            listed = {output["id"] for output in self._clients.seen.get(name, {}).values()}
            for item in self._clients.items[name]:
                self._check_item(name, item["id"], now, not can_run or item["id"] in listed | at_engines)
        self._simulation.clock.callLater(CHECK_SECONDS, self._check)

    def _check_item(self, name: str, item_id: str, now: float, is_excused: bool) -> None:
        state = self._items.setdefault(item_id, _ItemState())
        if is_excused:
            state.idle_since = None
            return
        state.idle_since = now if state.idle_since is None else state.idle_since
        idle = now - state.idle_since
        self.longest_idle = max(self.longest_idle, idle)
        if idle > MAX_IDLE_SECONDS and not state.reported:
            state.reported = True
            self.violations.append(f"{now:.3f} {item_id} is left lying for {idle:.1f} s: {self._describe(name)}")

    def _describe(self, name: str) -> str:
        reports = {
            node.name: node.part.service.monitor.reported_state().get(name)
            for node in self._simulation.role("gateway", alive=True)
        }
        return str({gateway: report for gateway, report in reports.items() if report}) or "no owner"
