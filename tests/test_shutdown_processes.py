"""Shutdown of processes that serve clients who name a model."""

import http.client
import json
import signal
import threading
import unittest

from testbed.processes.process_cluster import ProcessCluster, wait_for

STEP_S = 0.3


class ShutdownProcesses(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = ProcessCluster(gateways=2, storage_nodes=3, controllers=3, engines=1, cards=0, step=STEP_S)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    def _open(self, gateway, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.cluster.programs[gateway].ports[1], timeout=20)
        connection.request(method, path, json.dumps(body) if body else None, {"Content-Type": "application/json"})
        return connection.getresponse()

    def _start_run(self):
        """Starts a stream at the first gateway, and returns the response and the id of the run."""
        body = {"model": "pipit-small", "prompt": "a walk to the harbour"}
        response = self._open("gateway0", "POST", "/v1/generate", body)
        line = response.readline().decode()
        while "data:" not in line:
            line = response.readline().decode()
        return response, json.loads(line.partition("data: ")[2])["id"]

    def test_a_stream_that_is_followed_from_another_gateway_is_not_cut(self):
        """Guards against the end of a gateway whose own requests have ended, but not those that it passes on."""
        wait_for(lambda: self._open("gateway0", "GET", "/v1/ready").status == 200, 20, "the gateway is ready")
        body = {"model": "pipit-small", "prompt": "warm", "stream": False}
        wait_for(lambda: self._open("gateway0", "POST", "/v1/generate", body).status == 200, 20, "an engine is known")
        first, run = self._start_run()
        followed = self._open("gateway1", "GET", f"/v1/generate/{run}?from=0")
        self.assertEqual(followed.status, 200)
        self.assertEqual(followed.readline(), b"event: run\n")
        process = self.cluster.programs["gateway1"].process
        process.send_signal(signal.SIGTERM)
        received = []
        reader = threading.Thread(target=lambda: received.append(followed.read()))
        reader.start()
        reader.join(15)
        self.assertEqual(len(received), 1, "the stream was cut")
        self.assertIn(b"event: end\n", received[0])
        self.assertEqual(process.wait(10), 0)
        first.read()


if __name__ == "__main__":
    unittest.main()
