"""The check of responses: every malformed case is rejected, every sound one passes, whole and in all pieces."""

import unittest

from pipitlink.errors import MalformedResponse
from pipitlink.response_validator import MAX_LINE_BYTES, ResponseValidator
from testbed.standins.response_cases import (
    MALFORMED_CHUNKS,
    MALFORMED_HEADS,
    REFUSED_STATUSES,
    SOUND,
    malformed_refusal,
)

FIELDS = {"X-Request-Id": "c1", "X-Engine-Seal": "s1"}
BODY = b"HTTP/1.1 000 X\r\n bo dy: \x00\n"
REFUSALS = tuple(malformed_refusal(status, "X-Not-Executed") for status in REFUSED_STATUSES)
MALFORMED = (*MALFORMED_HEADS, *REFUSALS, *MALFORMED_CHUNKS)
NEXT_RESPONSE = b"\x00 no response"


def pieces_of(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


class Validation(unittest.TestCase):
    def receive(self, pieces, method=b"POST"):
        validator = ResponseValidator(method)
        for piece in pieces:
            validator.receive(piece)
        return validator

    def assert_malformed(self, pieces, method=b"POST"):
        with self.assertRaises(MalformedResponse):
            self.receive(pieces, method)

    def test_malformed_responses_are_rejected_whole_and_in_pieces(self):
        for case in MALFORMED:
            data = case.encode(FIELDS, BODY)
            for size in (len(data), 1, 2, 3, 7):
                with self.subTest(case.name, size=size):
                    self.assert_malformed(pieces_of(data, size))

    def test_a_malformed_response_is_rejected_wherever_it_is_divided(self):
        for case in MALFORMED:
            data = case.encode(FIELDS, BODY)
            for at in range(1, len(data)):
                with self.subTest(case.name, at=at):
                    self.assert_malformed([data[:at], data[at:]])

    def test_a_malformed_head_is_rejected_before_its_end(self):
        for case in (*MALFORMED_HEADS, *REFUSALS):
            data = case.encode(FIELDS, BODY)
            head_end = data.rindex(BODY) if BODY in data else len(data)
            with self.subTest(case.name):
                self.assert_malformed([data[:head_end]])

    def test_sound_responses_pass_whole_and_in_pieces(self):
        for case in SOUND:
            data = case.encode(FIELDS, BODY)
            for size in (len(data), 1, 2, 3, 7):
                with self.subTest(case.name, size=size):
                    self.assertFalse(self.receive([*pieces_of(data, size), NEXT_RESPONSE]).needs_more)

    def test_a_sound_response_passes_wherever_it_is_divided(self):
        for case in SOUND:
            data = case.encode(FIELDS, BODY)
            for at in range(1, len(data)):
                with self.subTest(case.name, at=at):
                    self.receive([data[:at], data[at:]])

    def test_a_chunked_response_needs_more_until_its_last_byte(self):
        data = SOUND_BY_NAME["trailers"].encode(FIELDS, BODY)
        for at in range(len(data)):
            self.assertTrue(self.receive([data[:at]]).needs_more, data[:at])

    def test_a_response_needs_more_until_its_head_is_complete(self):
        data = SOUND_BY_NAME["interim responses"].encode(FIELDS, BODY)
        head_bytes = data.index(BODY)
        self.assertEqual([self.receive([data[:at]]).needs_more for at in (head_bytes - 1, head_bytes)], [True, False])

    def test_all_bytes_that_a_name_must_not_have_are_rejected(self):
        allowed = SOUND_BY_NAME["all bytes that a name may have"].encode({}, BODY)
        for byte in range(256):
            with self.subTest(byte=byte):
                line = b"HTTP/1.1 200 OK\r\nX%bY: 1\r\n" % bytes([byte])
                if byte in allowed.split(b"\r\n")[1].split(b":")[0] or byte == ord(":"):
                    self.receive([line])
                else:
                    self.assert_malformed([line])

    def test_all_bytes_that_a_value_or_a_reason_must_not_have_are_rejected(self):
        for byte in range(256):
            for line in (b"HTTP/1.1 200 O%bK\r\n\r\n", b"HTTP/1.1 200 OK\r\nX-Own: 1%b2\r\n\r\n"):
                data = line % bytes([byte])
                with self.subTest(data):
                    if byte == ord("\t") or (byte >= ord(" ") and byte != 0x7F):
                        self.receive([data])
                    else:
                        self.assert_malformed([data])

    def test_only_statuses_from_100_to_599_pass(self):
        for status in range(1000):
            data = b"HTTP/1.1 %03d X\r\n\r\n" % status
            with self.subTest(status=status):
                if 100 <= status < 600 and status != 101:
                    self.receive([data])
                else:
                    self.assert_malformed([data])

    def test_responses_without_a_body_must_not_announce_one(self):
        for status in (b"204 No Content", b"103 Early Hints"):
            for line, is_sound in (
                (b"Content-Length: 0", True),
                (b"Content-Length: 00", True),
                (b"Content-Length: 1", False),
                (b"Transfer-Encoding: chunked", False),
            ):
                data = b"HTTP/1.1 %b\r\n%b\r\n\r\n" % (status, line)
                with self.subTest(data):
                    if is_sound:
                        self.receive([data])
                    else:
                        self.assert_malformed([data])

    def test_responses_that_state_the_framing_of_a_body_that_does_not_follow_pass(self):
        for line in (b"Content-Length: 5", b"Transfer-Encoding: chunked"):
            self.receive([b"HTTP/1.1 304 Not Modified\r\n%b\r\n\r\n" % line, NEXT_RESPONSE])
            self.receive([b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % line, NEXT_RESPONSE], method=b"HEAD")

    def test_a_quoted_value_of_an_extension_may_have_escapes(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.receive([head + b'1;a="b\\"c"\r\nx\r\n'])
        self.assert_malformed([head + b'1;a="b\\\x01c"\r\nx\r\n'])

    def test_a_line_has_a_limit_also_before_its_end(self):
        start = b"HTTP/1.1 200 OK\r\nX-Own: "
        self.receive([start + b"v" * (MAX_LINE_BYTES - len(b"X-Own: \r\n")) + b"\r\n"])
        self.assert_malformed([start + b"v" * MAX_LINE_BYTES])

    def test_a_chunk_size_of_many_digits_is_only_a_number(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertTrue(self.receive([head + b"f" * 400 + b"\r\nx\r\n0\r\n\r\n"]).needs_more)


SOUND_BY_NAME = {case.name: case for case in SOUND}

if __name__ == "__main__":
    unittest.main()
