"""What the operators' commands take for a response, over real sockets: none that is malformed or cut short."""

import json
import unittest

from pipitlink.tools.client import OperatorClient, Response, UnreachableError, send_request
from testbed.standins.response_cases import MALFORMED_CHUNKS, MALFORMED_HEADS, SOUND

from .case_server import CaseServer

FIELDS = {"Content-Type": "application/json"}
CONTENT = {"version": 4}
BODY = json.dumps(CONTENT).encode()
SOUND_RESPONSE = SOUND[0].encode(FIELDS, BODY)
STATUSES = (b"200 OK", b"409 Conflict")


class ToolResponses(unittest.TestCase):
    def setUp(self):
        self.server = CaseServer()
        self.addCleanup(self.server.close)

    def request(self, response, in_pieces=False):
        self.server.response, self.server.in_pieces = response, in_pieces
        return send_request(self.server.address, "PUT", "/v1/config", CONTENT)

    def test_malformed_responses_are_none(self):
        for case in (*MALFORMED_HEADS, *MALFORMED_CHUNKS):
            for in_pieces in (False, True):
                with self.subTest(case.name, in_pieces=in_pieces), self.assertRaises(UnreachableError):
                    self.request(case.encode(FIELDS, BODY), in_pieces)

    def test_malformed_refusals_are_none(self):
        for case in (*MALFORMED_HEADS, *MALFORMED_CHUNKS):
            response = case.encode(FIELDS, BODY).replace(b" 200 OK", b" 412 Precondition Failed")
            with self.subTest(case.name), self.assertRaises(UnreachableError):
                self.request(response)

    def test_sound_responses_are_read_whole(self):
        for case in SOUND:
            for in_pieces in (False, True):
                with self.subTest(case.name, in_pieces=in_pieces):
                    self.assertEqual(self.request(case.encode(FIELDS, BODY), in_pieces), Response(200, CONTENT))

    def test_responses_that_are_cut_short_are_none(self):
        chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
        sized = b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
        for status in STATUSES:
            for response in (b"HTTP/1.1 %b\r\n%b" % (status, rest) for rest in (chunked, sized)):
                self.assertEqual(self.request(response).body, CONTENT)
                for cut in range(len(response)):
                    with self.subTest(response[:cut]), self.assertRaises(UnreachableError):
                        self.request(response[:cut])

    def test_an_error_that_is_not_json_keeps_its_status(self):
        response = self.request(b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno")
        self.assertEqual((response.status, response.body["error"]["code"]), (404, "http"))

    def test_the_next_address_is_tried_after_a_malformed_response(self):
        other = CaseServer()
        self.addCleanup(other.close)
        self.server.response = b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"
        other.response = SOUND_RESPONSE
        client = OperatorClient([self.server.address, other.address])
        self.assertEqual(client.request("GET", "/v1/config"), Response(200, CONTENT))
        self.assertEqual((len(self.server.requests), len(other.requests)), (1, 1))


if __name__ == "__main__":
    unittest.main()
