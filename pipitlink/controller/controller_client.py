"""RPC calls to other controllers, by node."""

from __future__ import annotations

from datetime import timedelta
from typing import TypeVar

from google.protobuf.message import Message

from ..context import Context
from ..errors import WireError

__all__ = ["ControllerClient"]

ResponseT = TypeVar("ResponseT", bound=Message)


class ControllerClient:
    """Calls controllers at the addresses in the membership."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    async def call(
        self, node: str, method: str, request: Message, response_type: type[ResponseT], timeout: timedelta
    ) -> ResponseT:
        """Calls a method at a controller and returns the response.

        Raises WireError if the node is not in the membership, cannot be reached or does not respond within `timeout`,
        or if another node responds at its address.
        """
        member = self._ctx.membership.find(node)
        if member is None:
            raise WireError(f"controller {node} is not in the membership")
        address = (member.host, member.port)
        response: ResponseT = await self._ctx.rpc.call(address, method, request, response_type, timeout, node=node)
        return response
