"""The memory that is counted for clients, and the connections that are bounded by it, on a simulated clock."""

import unittest

from pipitlink.client_memory import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MAX_CLOSING_CONNECTIONS,
    ClientMemory,
    MemoryUse,
    Reservation,
)
from pipitlink.dialect import Dialect
from pipitlink.dialect.batches import MAX_JSON_VALUES
from pipitlink.errors import BadRequest, WireError
from pipitlink.http_connection import MAX_CHUNKS_PER_TURN, MAX_QUEUED_BYTES, MAX_REQUESTS_PER_TURN
from pipitlink.http_input import RequestInput
from pipitlink.router.inbound_request import ClientChannelFactory, InboundRequest
from pipitlink.wire.frame_assembler import FrameAssembler

from .router_builders import RouterHarness, head, route

LIMIT_BYTES = 8 * BYTES_PER_MB
LARGE_BODY = b"b" * 90_000
# The harness' configuration allows bodies of 100,000 bytes; a route that is no batch counts two bytes for each.
LARGE_BODY_COST = 2 * len(LARGE_BODY)


class _Client:
    """A holder of memory whose progress the test decides on."""

    def __init__(self, memory, size, is_slow):
        self.reservation = Reservation(memory)
        self.reservation.resize(size)
        self.slow = is_slow
        memory.add_holder(self)

    def is_slow(self, now_s):
        return self.slow

    def evict(self):
        self.reservation.release()


class Memory(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.memory = ClientMemory(64, 0, 4096, lambda: self.now_s)

    def test_the_limit_follows_the_memory_and_the_descriptors_of_the_settings(self):
        self.assertEqual(self.memory.limit_bytes, LIMIT_BYTES)
        larger = ClientMemory(264, 100, 4096)
        self.assertEqual(larger.limit_bytes, 60 * BYTES_PER_MB)
        self.assertEqual(larger.max_connections, 60 * BYTES_PER_MB // 4 // CONNECTION_BYTES)
        self.assertEqual(ClientMemory(4096, 0, 700).max_connections, 200)

    def test_what_does_not_fit_is_refused_and_counted_nowhere(self):
        reservation = Reservation(self.memory)
        self.assertFalse(reservation.try_resize(LIMIT_BYTES))
        self.assertEqual((reservation.size, self.memory.held_bytes, self.memory.refused), (0, 0, 1))

    def test_large_reservations_leave_room_for_small_ones(self):
        large, more, small = (Reservation(self.memory) for _ in range(3))
        self.assertTrue(large.try_resize(LIMIT_BYTES * 3 // 4))
        self.assertFalse(more.try_resize(100_000))
        self.assertTrue(small.try_resize(50_000))

    def test_the_largest_request_has_room_beside_another_one(self):
        for _ in range(2):
            self.assertTrue(Reservation(self.memory).try_resize(self.memory.max_request_bytes))

    def test_a_released_reservation_makes_room_once(self):
        reservation = Reservation(self.memory)
        reservation.try_resize(1000)
        reservation.release()
        reservation.release()
        self.assertEqual(self.memory.held_bytes, 0)

    def test_slow_clients_are_evicted_the_oldest_first_until_enough_is_free(self):
        clients = [_Client(self.memory, LIMIT_BYTES // 8, is_slow) for is_slow in (True, False, True, True, True, True)]
        self.assertTrue(Reservation(self.memory).try_resize(LIMIT_BYTES // 4))
        self.assertEqual([client.reservation.size > 0 for client in clients], [False, True, False, True, True, True])
        self.assertEqual(self.memory.evicted, 2)

    def test_clients_that_make_progress_are_not_evicted(self):
        clients = [_Client(self.memory, LIMIT_BYTES // 8, False) for _ in range(6)]
        self.assertFalse(Reservation(self.memory).try_resize(LIMIT_BYTES // 4))
        self.assertTrue(all(client.reservation.size for client in clients))

    def test_batches_fill_half_of_the_limit_at_most(self):
        self.assertTrue(self.memory.has_room_for(MemoryUse.BATCHES, LIMIT_BYTES // 2))
        self.memory.count_use(MemoryUse.BATCHES, LIMIT_BYTES // 2)
        self.assertFalse(self.memory.has_room_for(MemoryUse.BATCHES, 1))


class Connections(unittest.TestCase):
    """Connections of clients of a gateway that serves routes."""

    def setUp(self):
        self.harness = RouterHarness([route("o", "/once/", kind="mutating")])
        self.harness.announce_engine("e1", capacity=100)
        self.memory = self.harness.ctx.client_memory
        self.memory.limit_bytes = LIMIT_BYTES
        self.engine_bytes = self.memory.held_bytes
        self.other = Reservation(self.memory)

    def client_bytes(self):
        """Returns what is held for clients, beside the announcement of the engine."""
        return self.memory.held_bytes - self.engine_bytes

    def fill(self, left_bytes):
        """Leaves so much room for large requests."""
        held_bytes = self.memory.held_bytes - self.other.size
        self.other.resize(LIMIT_BYTES * 3 // 4 - left_bytes - held_bytes)

    def begin(self, headers, body=b""):
        channel = self.harness.connect_client()
        lines = ["POST /once/x HTTP/1.1", "Host: h.example", "X-Request-Id: c1", *headers, "", ""]
        channel.dataReceived("\r\n".join(lines).encode() + body)
        return channel

    def assert_refused(self, channel, status):
        output = self.harness.client_output(channel)
        self.assertTrue(output.startswith(b"HTTP/1.1 %d " % status), output)
        self.assertIn(b"Connection: close", output)
        self.assertEqual(output.count(b"HTTP/1.1"), 1)
        self.harness.advance_ms(2500)
        self.assertTrue(channel.transport.closed)
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_a_body_without_room_is_refused_before_it_is_sent(self):
        self.fill(LARGE_BODY_COST // 2)
        channel = self.begin([f"Content-Length: {len(LARGE_BODY)}"])
        self.assertIn(b"Retry-After", self.harness.client_output(channel))
        self.assert_refused(channel, 503)

    def test_what_follows_a_refusal_is_neither_kept_nor_run(self):
        self.fill(0)
        channel = self.begin([f"Content-Length: {len(LARGE_BODY)}"], LARGE_BODY)
        channel.dataReceived(b"POST /once/y HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c2\r\n\r\n")
        self.assertEqual(self.client_bytes(), self.other.size + CONNECTION_BYTES)
        self.assert_refused(channel, 503)

    def test_a_chunked_body_is_refused_once_there_is_no_room_for_its_next_step(self):
        self.fill(2 * 65_536 + 40_000)
        channel = self.begin(["Transfer-Encoding: chunked"], b"ffff\r\n" + b"c" * 0xFFFF + b"\r\n")
        self.assertEqual(self.harness.client_output(channel), b"")
        channel.dataReceived(b"ff\r\n" + b"c" * 0xFF + b"\r\n")
        self.assert_refused(channel, 503)

    def test_a_small_request_is_served_while_there_is_no_room_for_large_ones(self):
        self.fill(0)
        channel = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertIn(b"ok", self.harness.client_output(channel))

    def test_a_body_is_counted_until_its_request_has_ended(self):
        channel = self.harness.send_request("/once/x", body=LARGE_BODY)
        self.assertGreater(self.memory.held_bytes, LARGE_BODY_COST)
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertEqual(self.client_bytes(), CONNECTION_BYTES)
        channel.transport.close()
        self.assertEqual(self.client_bytes(), 0)

    def test_nothing_is_counted_for_a_client_that_has_left_in_the_middle(self):
        for kind in (f"Content-Length: {len(LARGE_BODY)}", "Transfer-Encoding: chunked"):
            self.begin([kind], b"5\r\nhello").transport.close()
        self.harness.send_request("/once/x", body=LARGE_BODY).transport.close()
        self.harness.advance_ms(100)
        self.assertEqual(self.client_bytes(), 0)

    def test_a_client_that_sends_too_little_is_evicted_with_a_promise(self):
        channel = self.begin([f"Content-Length: {len(LARGE_BODY)}"], b"some")
        self.harness.advance_ms(1500)
        self.fill(0)
        self.assertTrue(self.memory.make_room(LARGE_BODY_COST, LARGE_BODY_COST))
        self.assert_refused(channel, 503)

    def begin_stream(self):
        """Lets a response be in progress for a time; returns the client's side."""
        channel = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=100) + b"begin")
        self.harness.advance_ms(1500)
        return channel

    def test_a_client_that_takes_what_is_written_to_it_is_not_slow(self):
        """Guards against streams that are cut because an event was written in the turn in which memory is short."""
        channel = self.begin_stream()
        channel.transport._tempDataLen = 36
        self.assertFalse(channel.is_slow(self.memory.now_s()))
        self.fill(0)
        self.begin([f"Content-Length: {len(LARGE_BODY)}"])
        self.assertFalse(channel.transport.closed)

    def test_a_client_that_does_not_take_its_response_is_evicted(self):
        channel = self.begin_stream()
        channel.transport.dataBuffer = b"u" * 36
        self.fill(0)
        self.begin([f"Content-Length: {len(LARGE_BODY)}"])
        self.assertTrue(channel.transport.closed)

    def test_an_idle_connection_gives_way_to_a_new_one(self):
        self.harness.node.frontend.connections.max_connections = 2
        first, second, third = (self.harness.connect_client() for _ in range(3))
        closed = [channel.transport.closed for channel in (first, second, third)]
        self.assertEqual(closed, [True, False, False])

    def test_connections_that_are_not_closed_yet_bound_those_that_are_accepted(self):
        """Guards against a burst of connections in one turn of the reactor, before any can be closed."""
        connections = self.harness.node.frontend.connections
        connections.max_connections = 2
        for _ in range(2 + MAX_CLOSING_CONNECTIONS):
            self.assertTrue(connections.may_accept())
            connections.open[object()] = None
        self.assertIsNone(ClientChannelFactory(self.harness.node.frontend, self.harness.clock).buildProtocol(None))

    def test_a_refused_connection_gives_way_to_a_new_one(self):
        self.fill(0)
        self.harness.node.frontend.connections.max_connections = 1
        refused = self.begin([f"Content-Length: {len(LARGE_BODY)}"])
        new = self.harness.connect_client()
        self.assertEqual((refused.transport.closed, new.transport.closed), (True, False))

    def test_a_connection_in_use_does_not_give_way(self):
        self.harness.node.frontend.connections.max_connections = 1
        used = self.harness.send_request("/once/x")
        self.harness.connect_client()
        self.assertFalse(used.transport.closed)

    def test_small_chunks_are_parsed_in_turns(self):
        """Guards against a client that keeps the reactor from others with one read."""
        counts = []
        received = InboundRequest.handleContentChunk
        self.addCleanup(setattr, InboundRequest, "handleContentChunk", received)
        InboundRequest.handleContentChunk = lambda request, data: (counts.append(1), received(request, data))
        channel = self.begin(["Transfer-Encoding: chunked"], b"1\r\nc\r\n" * 5000)
        per_piece = 1024 // 6 + 1
        self.assertLessEqual(len(counts), MAX_CHUNKS_PER_TURN + per_piece)
        self.assertEqual(channel.transport.producerState, "paused")
        self.harness.advance_ms(500)
        self.assertEqual(len(counts), 5000)
        channel.dataReceived(b"0\r\n\r\n")
        _, _, request = self.harness.take_engine_request()
        self.assertTrue(request.endswith(b"c" * 5000))

    def test_a_request_behind_a_chunked_one_is_served_wherever_it_is_cut(self):
        lines = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\n{}\r\n\r\n"
        first = lines.format("c1", "Transfer-Encoding: chunked").encode() + b"3\r\nabc\r\n0\r\n\r\n"
        second = lines.format("c2", "Content-Length: 3").encode() + b"def"
        for cut in range(len(first), len(first) + len(second) + 1):
            channel = self.harness.connect_client()
            channel.dataReceived((first + second)[:cut])
            channel.dataReceived((first + second)[cut:])
            for call_id, body in (("c1", b"abc"), ("c2", b"def")):
                _, connection, request = self.harness.take_engine_request()
                self.assertTrue(request.endswith(body), (cut, request))
                connection.dataReceived(head(call_id, length=2) + b"ok")
            self.assertEqual(self.harness.client_output(channel).count(b" 200 "), 2)
            connection.discard()

    def test_the_body_of_a_refused_request_is_dropped(self):
        channel = self.begin(["Transfer-Encoding: chunked"], b"ff00\r\n" + b"c" * 0xFF00 + b"\r\n")
        self.harness.advance_ms(1500)
        channel.evict()
        self.assertEqual([request.content.getvalue() for request in channel.requests], [b""])
        self.assert_refused(channel, 503)

    def test_pipelined_requests_are_handled_in_turns_and_in_order(self):
        channel = self.harness.connect_client()
        request = b"GET /missing/%d HTTP/1.1\r\nHost: h.example\r\n\r\n"
        channel.dataReceived(b"".join(request % number for number in range(40)))
        self.assertLessEqual(self.harness.client_output(channel).count(b"404"), MAX_REQUESTS_PER_TURN)
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.client_output(channel).count(b"404"), 40)

    def test_no_request_is_handled_while_a_response_is_not_taken(self):
        """Guards against responses to pipelined requests that pile up for a client that reads none."""
        channel = self.harness.connect_client()
        channel.pauseProducing()
        channel.dataReceived(b"GET /missing/ HTTP/1.1\r\nHost: h.example\r\n\r\n")
        self.assertEqual(self.harness.client_output(channel), b"")
        channel.resumeProducing()
        self.harness.advance_ms(10)
        self.assertIn(b"404", self.harness.client_output(channel))

    def test_reading_is_paused_while_much_input_is_queued_behind_a_request(self):
        channel = self.harness.send_request("/once/x")
        channel.dataReceived(b"y" * (MAX_QUEUED_BYTES + 1))
        self.assertEqual(channel.transport.producerState, "paused")
        self.assertEqual(self.memory.held_bytes >= MAX_QUEUED_BYTES, True)

    def test_a_response_that_would_not_be_taken_is_refused_where_there_is_no_room(self):
        channel = self.harness.connect_client()
        self.fill(0)
        self.assertFalse(channel.has_room_for_response(LARGE_BODY_COST))
        self.assertTrue(channel.has_room_for_response(1000))

    def test_a_response_in_progress_is_counted_while_it_is_not_taken(self):
        channel = self.harness.connect_client()
        held_bytes = self.memory.held_bytes
        channel.transport.dataBuffer = b"u" * 30_000
        for write in (lambda: channel.write(b"w"), lambda: channel.writeSequence([b"w", b"s"])):
            write()
            self.assertEqual(self.memory.held_bytes, held_bytes + 30_000)
            channel._count_unsent()

    def test_bytes_of_a_request_may_arrive_one_by_one(self):
        channel = self.harness.connect_client()
        for byte in b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c1\r\nContent-Length: 3\r\n\r\nabc":
            channel.dataReceived(bytes([byte]))
        _, _, request = self.harness.take_engine_request()
        self.assertTrue(request.endswith(b"\r\n\r\nabc"))


class Inputs(unittest.TestCase):
    def test_a_head_is_found_wherever_it_is_cut(self):
        text = b"GET / HTTP/1.1\r\nA: b\r\n\r\nrest"
        for cut in range(1, len(text)):
            received = RequestInput()
            received.append(text[:cut])
            received.head_size()
            received.append(text[cut:])
            self.assertEqual(received.take(received.head_size()), text[:-4])

    def test_frames_are_assembled_wherever_they_are_cut(self):
        frames = [b"", b"a", b"bc" * 300]
        stream = b"".join(len(frame).to_bytes(4) + frame for frame in frames)
        for size in (1, 3, 4, 7, 10_000):
            assembler = FrameAssembler(1000)
            pieces = [stream[start : start + size] for start in range(0, len(stream), size)]
            self.assertEqual([frame for piece in pieces for frame in assembler.feed(piece)], frames)
            self.assertEqual(len(assembler), 0)

    def test_a_frame_beyond_the_limit_is_rejected_when_it_is_announced(self):
        with self.assertRaises(WireError):
            list(FrameAssembler(1000).feed((1001).to_bytes(4)))

    def test_a_batch_with_too_many_values_is_rejected_before_it_is_parsed(self):
        with self.assertRaises(BadRequest):
            Dialect().parse_batch(b"[" * (MAX_JSON_VALUES + 1))


if __name__ == "__main__":
    unittest.main()
