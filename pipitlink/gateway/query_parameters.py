"""Query parameters of clients' requests."""

from __future__ import annotations

from twisted.web.server import Request

from ..errors import BadRequest

__all__ = ["non_negative_number"]


def non_negative_number(request: Request, name: str, default: int = 0) -> int:
    """Returns a query parameter as a non-negative integer, `default` if it is missing.

    Raises BadRequest if it is anything else.
    """
    raw = request.args.get(name.encode(), [str(default).encode()])[0]
    try:
        number = int(raw)
        if number < 0:
            raise ValueError
        return number
    except ValueError:
        raise BadRequest(f"{name} must be a non-negative integer", code="bad_field", field=name) from None
