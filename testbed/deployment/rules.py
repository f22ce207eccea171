"""The checker: judges a record by the rules of the deployment, from what clients, engines and operators saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from .bounds import seconds
from .configurations import ROUTE_KINDS, service_of, with_routes
from .engines import LARGE_PATH, event_data, large_body
from .lot_rules import LotRules, is_malformed_only
from .record import PROMISES, Action, ActionKind, EngineRun, Exchange, Record, RouteKind, RunEnd
from .touch import Touch

__all__ = ["violations"]

DENIED_ALLOWANCE = 5
DENIED_DIVISOR = 500


def violations(record: Record, controllers: set[str], disks: set[str]) -> list[str]:
    """Returns a line for each broken rule. `controllers` and `disks` name machines of the core and of both kinds."""
    return list(_Rules(record, Touch(record, controllers | disks)).all())


class _Rules:
    def __init__(self, record: Record, touch: Touch) -> None:
        self._record = record
        self._touch = touch
        self._runs: defaultdict[str, list[EngineRun]] = defaultdict(list)
        for run in record.runs:
            self._runs[run.request_id].append(run)
        self._live = {x.request_id: x for x in record.exchanges if not x.is_lot_call}

    def all(self) -> Iterator[str]:
        checks: list[Callable[[], Iterator[str]]] = [
            self._lost,
            self._mixed,
            self._twice,
            self._refused,
            self._unasked,
            self._denied,
            self._routes,
            self._evacuations,
            self._draining,
            self._orders,
            self._final_config,
            LotRules(self._record, self._runs, self._touch).all,
        ]
        for check in checks:
            yield from check()
        yield from self._record.failures

    def _lost(self) -> Iterator[str]:
        for exchange in self._record.exchanges:
            if exchange.sent_at is None or exchange.ended_at is None:
                continue
            if exchange.is_complete or exchange.gave_up or exchange.is_after_close:
                continue
            action = self._planned_work(exchange)
            if action is not None and self._is_lost(exchange, action):
                yield self._lost_line(exchange, action)

    def _planned_work(self, exchange: Exchange) -> Action | None:
        """Returns the SIGTERM or SIGHUP of the exchange's gateway around which the connection ended, or None."""
        assert exchange.ended_at is not None
        assert exchange.sent_at is not None
        for action in self._record.actions:
            if action.subject != exchange.gateway:
                continue
            since = exchange.ended_at - action.at
            if action.kind == ActionKind.TERMINATE and 0 <= since <= seconds("grace_s") + 1:
                return action
            if action.kind == ActionKind.RELOAD and since >= 0 and exchange.sent_at <= action.at + seconds("apply_ms"):
                return action
        return None

    def _is_lost(self, exchange: Exchange, action: Action) -> bool:
        assert exchange.sent_at is not None
        assert exchange.ended_at is not None
        runs = self._runs[exchange.request_id]
        if not runs and exchange.ended_at - exchange.sent_at <= seconds("loss_slack_ms"):
            return False
        if self._touch.has_trouble(exchange.sent_at - seconds("contact_ms"), exchange.ended_at):
            return False
        if exchange.ended_at >= exchange.started_at + exchange.deadline_s:
            return False
        if not runs and self._touch.was_loading(exchange.gateway, exchange.ended_at):
            return False
        if any(run.end == RunEnd.CRASHED for run in runs):
            return False
        if runs and runs[-1].end == RunEnd.MALFORMED:
            return False
        late = action.at + seconds("grace_s") / 2
        was_at_work_late = any((run.ended_at or late) >= late for run in runs)
        return not (action.kind == ActionKind.TERMINATE and was_at_work_late)

    def _lost_line(self, exchange: Exchange, action: Action) -> str:
        assert exchange.sent_at is not None
        assert exchange.ended_at is not None
        runs = [
            f"{run.engine} {run.end} from {run.started_at - action.at:.2f}" for run in self._runs[exchange.request_id]
        ]
        earlier = [
            f"{x.request_id} sent {(x.sent_at or 0) - action.at:.3f}, head {(x.head_at or 0) - action.at:.3f} "
            f"({x.status}, {x.headers.get('connection')}), end {(x.ended_at or 0) - action.at:.3f}"
            for x in self._record.exchanges
            if (x.connection, x.gateway) == (exchange.connection, exchange.gateway) and x is not exchange
        ]
        return (
            f"LOST {exchange.request_id} at {exchange.gateway} ({exchange.path[:40]}): sent "
            f"{exchange.sent_at - action.at:.2f} s and cut {exchange.ended_at - action.at:.2f} s after its "
            f"{action.kind}; status {exchange.status}, {len(exchange.response)} bytes, {exchange.error}; runs {runs}; "
            f"before it on the connection {earlier[-1:]}"
        )

    def _mixed(self) -> Iterator[str]:
        for exchange in self._live.values():
            if exchange.is_malformed:
                yield f"MIXED {exchange.request_id}: bytes that are no response: {exchange.error[:100]}"
            if exchange.status == 0:
                continue
            seal = exchange.headers.get("pipitlink-server-seal")
            if not 200 <= exchange.status < 300:
                if seal is not None:
                    yield f"MIXED {exchange.request_id}: a {exchange.status} has a seal"
                continue
            if seal != f"seal-{exchange.request_id}":
                yield f"MIXED {exchange.request_id}: the seal of a success is {seal}"
            if exchange.headers.get("pipitlink-request-id") != exchange.request_id:
                yield f"MIXED {exchange.request_id}: the response has another id"
            if exchange.is_complete and is_malformed_only(self._runs[exchange.request_id]):
                yield f"MIXED {exchange.request_id}: all that engines sent for it was malformed"
            whole = _whole_body(exchange)
            if exchange.is_complete and exchange.response != whole:
                size = len(exchange.response)
                yield f"MIXED {exchange.request_id}: a complete response of {size} of {len(whole)} bytes"
            elif not whole.startswith(exchange.response):
                yield f"ORDER {exchange.request_id}: the response is no part of the engine's"
        yield from (f"MIXED bytes that no request waits for at {text}" for text in self._record.unasked_bytes)

    def _twice(self) -> Iterator[str]:
        for request_id, runs in self._runs.items():
            exchange = self._live.get(request_id)
            if exchange is not None and not exchange.is_repeatable and len(runs) > 1:
                yield f"TWICE {request_id}: ran at {[run.engine for run in runs]}"

    def _refused(self) -> Iterator[str]:
        for exchange in self._live.values():
            runs = self._runs[exchange.request_id]
            if not exchange.is_repeatable and exchange.is_complete and exchange.status in PROMISES and runs:
                yield f"REFUSED {exchange.request_id}: got {exchange.status} and ran at {runs[0].engine}"

    def _unasked(self) -> Iterator[str]:
        items = {item: body for lot in self._record.lots for item, body in lot.bodies.items()}
        for run in self._record.runs:
            exchange = self._live.get(run.request_id)
            if exchange is not None:
                is_asked = (run.path, run.body) == (exchange.path, exchange.body)
            else:
                is_asked = items.get(run.request_id) == run.body and run.path == f"/rounds/{run.request_id}"
            if not is_asked:
                yield f"UNASKED {run.request_id}: {run.engine} ran {run.path}"

    def _denied(self) -> Iterator[str]:
        denied = Counter(
            exchange.status
            for exchange in self._live.values()
            if exchange.is_complete
            and 300 <= exchange.status < 500
            and exchange.status not in PROMISES
            and exchange.route in ROUTE_KINDS
        )
        if denied.total() > DENIED_ALLOWANCE + len(self._live) / DENIED_DIVISOR:
            yield f"DENIED {dict(denied)} of {len(self._live)} requests"

    def _routes(self) -> Iterator[str]:
        """Checks where requests ran, and refusals of routes that all configurations that may be in force have."""
        for exchange in self._live.values():
            if exchange.sent_at is None:
                continue
            allowed = self._services_in_force(exchange)
            ever = self._services_ever(exchange.route)
            for run in self._runs[exchange.request_id]:
                if run.service not in ever:
                    yield f"ROUTE {exchange.request_id}: {exchange.route} ran at {run.service}"
                elif run.service not in allowed and self._touch.is_in_touch(exchange.gateway, exchange.sent_at):
                    yield f"CONFIG {exchange.request_id}: {exchange.route} ran at {run.service}, allowed {allowed}"
            is_wrong = exchange.status == 404 and None not in allowed
            if is_wrong and self._touch.is_in_touch(exchange.gateway, exchange.sent_at):
                yield f"CONFIG {exchange.request_id}: {exchange.route} got 404 at {exchange.gateway}"

    def _services_ever(self, route: str) -> set[str | None]:
        configs = [order.content for order in self._record.orders if order.content is not None]
        return {service_of(config, route) for config in configs} - {None}

    def _services_in_force(self, exchange: Exchange) -> set[str | None]:
        """Returns the services that configurations which may be in force for a request have for its route."""
        assert exchange.sent_at is not None
        ended_at = exchange.ended_at or exchange.sent_at
        slack = seconds("apply_ms") + self._touch.stretch(exchange.sent_at - seconds("apply_ms"), exchange.sent_at)
        orders = [order for order in self._record.orders if order.content is not None and order.sent_at <= ended_at]
        known = [
            int(order.subject)
            for order in orders
            if order.acknowledged_at is not None and order.acknowledged_at + slack < exchange.sent_at
        ]
        oldest = max(known, default=0)
        return {
            service_of(order.content, exchange.route)
            for order in orders
            if int(order.subject) >= oldest and order.content is not None
        }

    def _evacuations(self) -> Iterator[str]:
        orders = [order for order in self._record.orders if order.kind in ("evacuate", "return")]
        for order in orders:
            if order.kind != "evacuate" or order.acknowledged_at is None:
                continue
            returns = [o.sent_at for o in orders if o.kind == "return" and o.subject == order.subject]
            until = min((at for at in returns if at > order.sent_at), default=float("inf"))
            for run in self._record.runs:
                if run.zone == order.subject and run.started_at < until:
                    bound = seconds("evacuate_ms") + self._touch.stretch(order.acknowledged_at, run.started_at)
                    if run.started_at > order.acknowledged_at + bound and self._sender_is_in_touch(run):
                        late = run.started_at - order.acknowledged_at
                        yield f"EVAC {run.request_id}: reached {run.engine} in {run.zone} after {late:.2f} s"

    def _sender_is_in_touch(self, run: EngineRun) -> bool:
        """Returns whether the rule holds for a run: items of lots have no condition on the machine that sends them."""
        exchange = self._live.get(run.request_id)
        return exchange is None or self._touch.has_run(exchange.gateway, run.started_at)

    def _draining(self) -> Iterator[str]:
        for run in self._record.runs:
            acknowledged_at = self._record.drained_engines.get(run.engine)
            if acknowledged_at is None or run.started_at <= acknowledged_at + seconds("drain_ms"):
                continue
            exchange = self._live.get(run.request_id)
            if exchange is None or self._touch.is_in_touch(exchange.gateway, run.started_at):
                yield f"DRAIN {run.request_id}: reached {run.engine} {run.started_at - acknowledged_at:.2f} s later"

    def _orders(self) -> Iterator[str]:
        configs = [order for order in self._record.orders if order.content is not None]
        taken = Counter(order.base for order in configs if order.acknowledged_at is not None)
        for base, count in taken.items():
            if count > 1:
                yield f"CONFIG {count} changes on top of version {base} were acknowledged"
        for order in self._record.orders:
            late = order.sent_at + seconds("ack_ms")
            is_answered = order.refused_status != 0 or (order.acknowledged_at or float("inf")) <= late
            if not is_answered and self._touch.is_settled(order.sent_at, late):
                yield f"ACKS {order.kind} {order.subject} has no acknowledgement after {seconds('ack_ms'):g} s of calm"

    def _final_config(self) -> Iterator[str]:
        configs = {int(order.subject): order for order in self._record.orders if order.content is not None}
        newest = max((v for v, order in configs.items() if order.acknowledged_at is not None), default=0)
        final = self._record.final_config
        if final is None:
            yield "CONFIG the configuration does not come when it is read back"
            return
        order = configs.get(final["version"])
        if final["version"] < newest or order is None or order.refused_status:
            yield f"CONFIG version {final['version']} is read back, {newest} was acknowledged"
        elif order.content is not None and with_routes(final) != with_routes(order.content):
            yield f"CONFIG version {final['version']} is read back with other routes"


def _whole_body(exchange: Exchange) -> bytes:
    if exchange.kind == RouteKind.STREAMING:
        events = (
            f"id: {number}\ndata: {event_data(exchange.request_id, number)}\n\n"
            for number in range(1, exchange.events + 1)
        )
        return "".join(events).encode()
    if LARGE_PATH in exchange.path:
        return large_body(exchange.request_id)
    return f"plain {exchange.request_id}".encode()
