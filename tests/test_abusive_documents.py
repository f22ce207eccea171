"""Crowds that send and ask for JSON documents, which take far more memory than their text, with lowered limits."""

import json
import unittest

from testbed.deployment.abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from testbed.deployment.abusive_input import document_of_many_values
from tests.abuse_scenario import BYTES_PER_MB, AbuseCase

CONTROL_BODY_BYTES = 8 * BYTES_PER_MB
SMALLER_BODY_BYTES = 3_000_000
OPERATOR_BODY_BYTES = 32 * BYTES_PER_MB
CONFIG_PADDING_BYTES = 600_000
ANNOUNCEMENT_BYTES = 900_000
NAME_BYTES = 15_000
ROUND_S = 1.0


class Documents(AbuseCase):
    """JSON documents whose values take far more memory than their text."""

    def test_documents_of_many_values_at_the_control_address(self):
        async def abuse(scenario):
            body = document_of_many_values(CONTROL_BODY_BYTES)
            target = AbuseTarget(
                scenario.controller.control_address, "PUT", "/config", {"Host": "node", "If-Match": "0"}, body
            )
            await scenario.abuse(AbuseKind.WHOLE_BODY, target, 3)
            self.assertTrue(await scenario.is_alive(target.address, "/config"))

        self.play(abuse)

    def test_documents_of_many_values_in_bodies_that_fit(self):
        async def abuse(scenario):
            body = document_of_many_values(SMALLER_BODY_BYTES)
            target = AbuseTarget(
                scenario.controller.control_address, "PUT", "/config", {"Host": "node", "If-Match": "0"}, body
            )
            await scenario.abuse(AbuseKind.WHOLE_BODY, target, 3)
            self.assertTrue(await scenario.is_alive(target.address, "/config"))

        self.play(abuse)

    def test_large_documents_at_the_operators_port_of_each_role(self):
        async def abuse(scenario):
            body = b'{"rows":"' + b"r" * (OPERATOR_BODY_BYTES - 20) + b'"}'
            clients = [
                AbusiveClient(
                    AbuseKind.WHOLE_BODY,
                    AbuseTarget(machine.operator_address, "PUT", "/v1/table", {"Host": "node", "If-Match": "0"}, body),
                )
                for machine in (scenario.gateway, scenario.controller, scenario.storage)
                for _ in range(3)
            ]
            await scenario.abuse_all(clients)

        self.play(abuse)

    def test_a_configuration_that_is_not_read(self):
        async def abuse(scenario):
            await scenario.hand_in_large_config(CONFIG_PADDING_BYTES)
            headers = {"Host": "node"}
            target = AbuseTarget(scenario.controller.control_address, "GET", "/config", headers)
            await scenario.abuse(AbuseKind.UNREAD_RESPONSES, target, 300)

        self.play(abuse)


class Announcements(AbuseCase):
    """Engines that do not exist, announced at the control address."""

    def announcement(self, **fields):
        return json.dumps(
            {
                "backend": "api",
                "address": "127.0.0.1:9",
                "zone": "zone-a",
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "cold_left_ms": 0,
                "model_list": [{"name": "m"}],
                "call_seq": 1,
                **fields,
            }
        ).encode()

    def announce(self, scenario, count, name, body, method="PUT"):
        address = scenario.controller.control_address
        return [
            AbusiveClient(
                AbuseKind.WHOLE_BODY, AbuseTarget(address, method, f"/instances/{name}{number}", {"Host": "n"}, body)
            )
            for number in range(count)
        ]

    async def announce_in_rounds(self, scenario, rounds, count, name, body, method="PUT"):
        for number in range(rounds):
            clients = self.announce(scenario, count, f"{number}{name}", body, method)
            await scenario.abuse_all(clients, ROUND_S)
            for client in clients:
                client.close()

    def test_announcements_of_large_engines(self):
        async def abuse(scenario):
            body = self.announcement(model_list=[{"name": "m" * ANNOUNCEMENT_BYTES}])
            await self.announce_in_rounds(scenario, 20, 8, "large", body)

        self.play(abuse)

    def test_long_names_of_engines_that_are_gone(self):
        async def abuse(scenario):
            await self.announce_in_rounds(scenario, 4, 250, "n" * NAME_BYTES, b"", "DELETE")

        self.play(abuse)


if __name__ == "__main__":
    unittest.main()
