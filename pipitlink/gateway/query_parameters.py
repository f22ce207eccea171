"""Query parameters of callers' requests."""

from __future__ import annotations

from twisted.web.server import Request

from ..errors import BadRequest

__all__ = ["non_negative_number"]


def non_negative_number(request: Request, name: str, default: int = 0) -> int:
    """Returns a query parameter as a number from 0 up, `default` where it is missing.

    Raises BadRequest where it is anything else.
    """
    raw = request.args.get(name.encode(), [str(default).encode()])[0]
    try:
        number = int(raw)
        if number < 0:
            raise ValueError
        return number
    except ValueError:
        raise BadRequest(f"{name} must be a whole number from 0 up", code="bad_field", field=name) from None
