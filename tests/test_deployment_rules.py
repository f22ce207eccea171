"""The checker of the soak runs of deployed programs: each broken rule is found, and what the rules excuse is not."""

import asyncio
import unittest

from testbed.deployment.configurations import configuration
from testbed.deployment.engines import event_data
from testbed.deployment.faults import FaultKind, Profile, schedule
from testbed.deployment.http_messages import MalformedHeadError, MessageHead, read_head
from testbed.deployment.record import (
    Action,
    ActionKind,
    EngineRun,
    Exchange,
    LotRead,
    LotRecord,
    Order,
    Record,
    RouteKind,
    RunEnd,
)
from testbed.deployment.rules import violations

T = 1000.0
GATEWAY, CONTROLLER, STORAGE = "edge-1", "core-1", "storage-1"


class DeploymentRules(unittest.TestCase):
    def setUp(self):
        first = Order("config", "1", configuration(1, "api", ["extra1"]), 0, T - 100, T - 99)
        self.record = Record(orders=[first], final_config=first.content)

    def exchange(self, route="quick", kind=RouteKind.STREAMING, events=3, **fields):
        fields = {"started_at": T, "sent_at": T, "ended_at": T + 1, "is_repeatable": route == "quick", **fields}
        exchange = Exchange("r1", GATEWAY, route, kind, f"/{route}/r1", b"prompt", 6.0, events, **fields)
        self.record.exchanges.append(exchange)
        return exchange

    def success(self, exchange, events=3):
        exchange.status, exchange.is_complete = 200, True
        exchange.headers = {"pipitlink-server-seal": "seal-r1", "pipitlink-request-id": "r1"}
        parts = (f"id: {n}\ndata: {event_data('r1', n)}\n\n" for n in range(1, events + 1))
        exchange.response = "".join(parts).encode()
        return exchange

    def run_of(self, exchange, **fields):
        fields = {"started_at": T + 0.1, "ended_at": T + 0.9, "end": RunEnd.COMPLETE, **fields}
        service = fields.pop("service", "lm")
        run = EngineRun("r1", "i-1", service, "zone-a", exchange.path, exchange.body, 1, **fields)
        self.record.runs.append(run)
        return run

    def act(self, kind, subject, at):
        self.record.actions.append(Action(kind, subject, at))

    def lot(self, **fields):
        lot = LotRecord("lot", [("lot-0", 2)], {"lot-0": b"body"}, accepted_at=T, **fields)
        self.record.lots.append(lot)
        return lot

    def page(self, *outputs):
        return {"total_count": 1, "next_token": len(outputs), "outputs": list(outputs)}

    def broken(self):
        return [line.split()[0] for line in violations(self.record, {CONTROLLER}, {STORAGE})]

    def test_nothing_is_found_in_a_calm_run(self):
        self.run_of(self.success(self.exchange()))
        self.assertEqual(self.broken(), [])

    def test_a_request_that_was_passed_on_and_cut_after_sigterm_is_lost(self):
        self.run_of(self.exchange(), end=RunEnd.DROPPED)
        self.act(ActionKind.TERMINATE, GATEWAY, T - 2)
        self.assertEqual(self.broken(), ["LOST"])

    def test_a_request_that_no_engine_got_is_lost_if_it_was_cut_later_than_the_slack(self):
        exchange = self.exchange()
        self.act(ActionKind.TERMINATE, GATEWAY, T - 2)
        self.assertEqual(self.broken(), ["LOST"])
        exchange.ended_at = T + 0.1
        self.assertEqual(self.broken(), [])

    def test_a_request_that_waits_for_a_program_to_be_loaded_was_not_read(self):
        self.exchange()
        self.act(ActionKind.TERMINATE, GATEWAY, T - 2)
        self.act(ActionKind.EXIT_LOADING, GATEWAY, T + 1.1)
        self.assertEqual(self.broken(), [])
        self.record.actions[-1].at = T + 3
        self.assertEqual(self.broken(), ["LOST"])

    def test_a_request_cut_after_a_reload_is_lost(self):
        self.run_of(self.exchange(), end=RunEnd.DROPPED)
        self.act(ActionKind.RELOAD, GATEWAY, T + 0.5)
        self.assertEqual(self.broken(), ["LOST"])

    def test_a_cut_is_excused_by_trouble_by_an_engine_by_the_deadline_and_by_late_work(self):
        run = self.run_of(self.exchange(), end=RunEnd.DROPPED)
        self.act(ActionKind.TERMINATE, GATEWAY, T - 2)
        self.act(ActionKind.KILL, "edge-2", T - 2)
        self.assertEqual(self.broken(), [])
        self.record.actions.pop()
        run.end = RunEnd.CRASHED
        self.assertEqual(self.broken(), [])
        run.end, run.ended_at = RunEnd.DROPPED, T + 2.5
        self.assertEqual(self.broken(), [])
        run.ended_at = T + 0.9
        self.record.exchanges[0].deadline_s = 0.5
        self.assertEqual(self.broken(), [])

    def test_a_success_that_is_cut_short_or_bears_no_seal_is_mixed(self):
        exchange = self.success(self.exchange(), events=2)
        self.run_of(exchange)
        self.assertEqual(self.broken(), ["MIXED"])
        exchange.is_complete = False
        self.assertEqual(self.broken(), [])
        self.success(exchange).headers.pop("pipitlink-server-seal")
        self.assertEqual(self.broken(), ["MIXED"])

    def test_a_lost_event_breaks_the_order(self):
        exchange = self.success(self.exchange())
        self.run_of(exchange)
        exchange.response, exchange.is_complete = exchange.response.replace(b"id: 2", b"id: 3"), False
        self.assertEqual(self.broken(), ["ORDER"])

    def test_bytes_that_are_no_response_are_mixed(self):
        self.exchange(is_malformed=True)
        self.assertEqual(self.broken(), ["MIXED"])

    def test_a_success_for_which_engines_sent_only_malformed_responses_is_mixed(self):
        exchange = self.success(self.exchange())
        self.run_of(exchange, end=RunEnd.MALFORMED)
        self.assertEqual(self.broken(), ["MIXED"])
        self.run_of(exchange)
        self.assertEqual(self.broken(), [])

    def test_an_item_for_which_engines_sent_only_malformed_responses_is_mixed(self):
        whole = {"id": "lot-0", "state": "complete", "message": f"{event_data('lot-0', 1)}\n{event_data('lot-0', 2)}"}
        page = self.page(whole)
        self.lot(reads=[LotRead(GATEWAY, 0, T + 2, 200, page)], final_outputs=[whole])
        run = EngineRun("lot-0", "i-1", "lm", "zone-a", "/rounds/lot-0", b"body", 1, T + 1, T + 1, RunEnd.MALFORMED)
        self.record.runs.append(run)
        self.assertEqual(self.broken(), ["MIXED"])
        run.end = RunEnd.COMPLETE
        self.assertEqual(self.broken(), [])

    def test_a_response_that_is_cut_after_a_malformed_one_of_the_engine_is_not_lost(self):
        exchange = self.exchange()
        self.run_of(exchange, end=RunEnd.MALFORMED)
        self.act(ActionKind.TERMINATE, GATEWAY, T - 2)
        self.assertEqual(self.broken(), [])
        self.run_of(exchange, end=RunEnd.DROPPED)
        self.assertEqual(self.broken(), ["LOST"])

    def test_a_client_takes_no_malformed_head_for_a_response(self):
        for line in ("HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/2.0 200 OK", ""):
            with self.subTest(line), self.assertRaises(MalformedHeadError):
                _ = MessageHead(line, {}).status
        self.assertEqual([MessageHead(f"HTTP/1.1 200{rest}", {}).status for rest in ("", " ", " OK")], [200] * 3)

    def test_a_client_takes_no_line_without_a_valid_name_for_a_header(self):
        for line in (b"X Own: 1", b"X-Own : 1", b"X\x01Own: 1", b": 1", b" folded"):
            with self.subTest(line), self.assertRaises(MalformedHeadError):
                self.read_head(b"HTTP/1.1 200 OK\r\n" + line + b"\r\n\r\n")
        self.assertEqual(self.read_head(b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n").headers, {"x-own": "1"})

    def read_head(self, data):
        async def read():
            reader = asyncio.StreamReader()
            reader.feed_data(data)
            return await read_head(reader)

        return asyncio.run(read())

    def test_bytes_that_no_request_waits_for_are_mixed(self):
        self.record.unasked_bytes.append("somewhere")
        self.assertEqual(self.broken(), ["MIXED"])

    def test_two_runs_of_a_request_that_must_not_be_repeated(self):
        exchange = self.success(self.exchange("once"))
        self.run_of(exchange)
        self.run_of(exchange)
        self.assertEqual(self.broken(), ["TWICE"])
        exchange.is_repeatable = True
        self.assertEqual(self.broken(), [])

    def test_a_refused_request_that_ran(self):
        exchange = self.exchange("once", status=503, is_complete=True)
        self.run_of(exchange)
        self.assertEqual(self.broken(), ["REFUSED"])

    def test_a_run_that_nobody_asked_for(self):
        exchange = self.success(self.exchange())
        self.run_of(exchange).body = b"another"
        self.assertEqual(self.broken(), ["UNASKED"])

    def test_many_refusals_with_a_4xx(self):
        for number in range(7):
            self.exchange("read", RouteKind.IDEMPOTENT, 0, status=400, is_complete=True).request_id = f"r{number}"
        self.assertEqual(self.broken(), ["DENIED"])

    def test_a_request_that_runs_at_another_service(self):
        exchange = self.exchange("swap", RouteKind.IDEMPOTENT, 0)
        self.run_of(exchange, service="lm")
        self.assertEqual(self.broken(), ["ROUTE"])

    def test_a_request_that_is_handled_by_an_older_configuration(self):
        order = Order("config", "2", configuration(2, "alt", []), 1, T - 5, T - 4)
        self.record.orders.append(order)
        self.record.final_config = order.content
        self.run_of(self.exchange("swap", RouteKind.IDEMPOTENT, 0), service="api")
        self.assertEqual(self.broken(), ["CONFIG"])
        order.acknowledged_at = T - 1
        self.assertEqual(self.broken(), [])

    def test_a_route_that_is_refused_although_it_is_there(self):
        self.exchange("extra1", RouteKind.IDEMPOTENT, 0, status=404, is_complete=True)
        self.assertEqual(self.broken(), ["CONFIG"])

    def test_an_older_configuration_that_is_read_back_and_one_that_does_not_come(self):
        order = Order("config", "2", configuration(2, "alt", []), 1, T - 5, T - 4)
        self.record.orders.append(order)
        self.assertEqual(self.broken(), ["CONFIG"])
        self.record.final_config = None
        self.assertEqual(self.broken(), ["CONFIG"])

    def test_two_changes_on_top_of_one_version(self):
        for version in ("2", "3"):
            self.record.orders.append(Order("config", version, configuration(int(version), "api", []), 1, T, T + 1))
        self.record.final_config = self.record.orders[-1].content
        self.assertEqual(self.broken(), ["CONFIG"])

    def test_an_order_without_acknowledgement_in_calm_times(self):
        self.record.orders.append(Order("evacuate", "zone-b", sent_at=T))
        self.assertEqual(self.broken(), ["ACKS"])
        self.act(ActionKind.KILL, CONTROLLER, T + 1)
        self.assertEqual(self.broken(), [])

    def test_a_request_that_reaches_an_evacuated_zone(self):
        self.record.orders.append(Order("evacuate", "zone-a", sent_at=T - 7, acknowledged_at=T - 6))
        self.run_of(self.success(self.exchange()))
        self.assertEqual(self.broken(), ["EVAC"])
        self.record.orders.append(Order("return", "zone-a", sent_at=T - 1, acknowledged_at=T))
        self.assertEqual(self.broken(), [])

    def test_a_request_that_reaches_a_leaving_engine_too_late(self):
        self.record.drained_engines["i-1"] = T - 2
        self.run_of(self.success(self.exchange()))
        self.assertEqual(self.broken(), ["DRAIN"])
        self.record.drained_engines["i-1"] = T - 1
        self.assertEqual(self.broken(), [])

    def test_an_accepted_lot_that_is_gone_or_left_lying(self):
        lot = self.lot(final_outputs=[])
        self.assertEqual(self.broken(), ["LOST"])
        lot.final_outputs = None
        self.assertEqual(self.broken(), ["LOST"])
        lot.final_outputs = [{"id": "lot-0"}]
        lot.reads.append(LotRead(GATEWAY, 0, T + 2, 404))
        self.assertEqual(self.broken(), ["LOST"])

    def test_results_of_a_lot_that_change_or_are_not_whole(self):
        whole = {"id": "lot-0", "state": "complete", "message": "lot-0.1\nlot-0.2"}
        lot = self.lot(final_outputs=[whole])
        lot.reads.append(LotRead(GATEWAY, 0, T, 200, self.page(whole)))
        self.assertEqual(self.broken(), [])
        lot.reads.append(LotRead(GATEWAY, 0, T, 200, self.page({**whole, "message": "lot-0.1"})))
        self.assertEqual(self.broken(), ["TWICE"])
        lot.reads.pop(0)
        self.assertEqual(self.broken(), ["MIXED"])
        lot.reads[0].page = self.page({**whole, "state": "abandoned"})
        self.assertEqual(self.broken(), ["MIXED"])

    def test_items_of_a_lot_that_was_refused_or_has_ended(self):
        lot = self.lot(final_outputs=[], end_sent_at=T, end_acknowledged_at=T)
        run = EngineRun("lot-0", "i-1", "lm", "zone-b", "/rounds/lot-0", b"body", 1, T + 4)
        self.record.runs.append(run)
        self.assertEqual(self.broken(), ["UNASKED"])
        lot.accepted_at = lot.end_acknowledged_at = None
        call = Exchange("POST", GATEWAY, "rounds", RouteKind.BULK, "/rounds/lot", b"", 4.0, is_lot_call=True)
        call.status, call.is_complete = 429, True
        lot.tries.append(call)
        self.assertEqual(self.broken(), ["REFUSED"])


class Schedule(unittest.TestCase):
    def test_it_depends_on_the_seed_alone(self):
        self.assertEqual(schedule(7, Profile.MIXED, 60.0), schedule(7, Profile.MIXED, 60.0))
        self.assertNotEqual(schedule(7, Profile.MIXED, 60.0), schedule(8, Profile.MIXED, 60.0))

    def test_planned_work_has_no_troubles(self):
        troubles = {FaultKind.KILL_GATEWAY, FaultKind.KILL_CONTROLLER, FaultKind.KILL_STORAGE, FaultKind.CRASH_ENGINE}
        kinds = {fault.kind for fault in schedule(1, Profile.PLANNED, 600.0)}
        self.assertEqual(kinds, set(FaultKind) - troubles)
        self.assertEqual({fault.kind for fault in schedule(1, Profile.MIXED, 600.0)}, set(FaultKind))


if __name__ == "__main__":
    unittest.main()
