"""JSON bodies of the models interface, checked and typed."""

import json

import attrs
import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError

from ..errors import BadRequest

__all__ = ["read_json", "GenerateBody", "LotBody", "ItemBody", "EngineBody", "structure"]


def _strict(kind):
    def hook(value, _):
        if type(value) is not kind:
            raise TypeError(f"must be {kind.__name__}, not {type(value).__name__}")
        return value

    return hook


_converter = cattrs.Converter(forbid_extra_keys=True)
for _kind in (str, int, bool):
    _converter.register_structure_hook(_kind, _strict(_kind))


def _between(low, high):
    def check(_, a, value):
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")

    return check


def _sized(most, least=0):
    def check(_, a, value):
        if not least <= len(value) <= most:
            raise ValueError(
                f"must have {least} to {most} characters"
                if isinstance(value, str)
                else f"must have {least} to {most} entries"
            )

    return check


@attrs.frozen(kw_only=True)
class GenerateBody:
    """A live request for one model; `limit_ms` is its time limit in milliseconds."""

    model: str = attrs.field(validator=_sized(200, 1))
    prompt: str = attrs.field(validator=_sized(512 * 1024))
    prefix_key: str = attrs.field(default="", validator=_sized(200))
    repeatable: bool = False
    stream: bool = True
    limit_ms: int = attrs.field(default=30_000, validator=_between(1, 3_600_000))
    max_tokens: int = attrs.field(default=256, validator=_between(1, 32_768))


@attrs.frozen(kw_only=True)
class ItemBody:
    """One item of a lot."""

    model: str = attrs.field(validator=_sized(200, 1))
    prompt: str = attrs.field(validator=_sized(256 * 1024))
    prefix_key: str = attrs.field(default="", validator=_sized(200))
    repeatable: bool = False
    max_tokens: int = attrs.field(default=256, validator=_between(1, 32_768))


@attrs.frozen(kw_only=True)
class LotBody:
    """A lot handed in; `limit_ms` is how long after its arrival items may still be started, in milliseconds."""

    items: list[ItemBody] = attrs.field(validator=_sized(100_000, 1))
    customer: str = attrs.field(default="", validator=_sized(200))
    priority: int = attrs.field(default=0, validator=_between(-100, 100))
    limit_ms: int = attrs.field(default=86_400_000, validator=_between(1, 30 * 86_400_000))
    idempotency_key: str = attrs.field(default="", validator=_sized(200))


def _state(_, a, value):
    if value not in ("ready", "leaving"):
        raise ValueError("must be 'ready' or 'leaving'")


def _host_port(_, a, value):
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be IP:PORT")


@attrs.frozen(kw_only=True)
class EngineBody:
    """An engine's announcement of itself; `address` is IP:PORT, `capacity` the requests it runs at once."""

    engine: str = attrs.field(validator=_sized(200, 1))
    address: str = attrs.field(validator=_host_port)
    pool: str = attrs.field(validator=_sized(200, 1))
    zone: str = attrs.field(validator=_sized(64, 1))
    models: list[str] = attrs.field(factory=list, validator=_sized(256))
    capacity: int = attrs.field(default=1, validator=_between(1, 10_000))
    incarnation: int = attrs.field(default=1, validator=_between(0, 2**63))
    state: str = attrs.field(default="ready", validator=_state)


def _first(e: Exception, path: str = "") -> tuple[str, str]:
    if isinstance(e, (ClassValidationError, IterableValidationError)):
        for sub in e.exceptions:
            name = path
            for note in getattr(sub, "__notes__", ()):
                if hasattr(note, "name"):
                    name = f"{path}.{note.name}".strip(".")
                elif hasattr(note, "index"):
                    name = f"{path}[{note.index}]"
            return _first(sub, name)
    if isinstance(e, ForbiddenExtraKeysError):
        name = sorted(e.extra_fields)[0]
        return f"{path}.{name}".strip("."), "unknown field"
    if isinstance(e, KeyError):
        return f"{path}.{e.args[0]}".strip(".") if path != e.args[0] else path, "is missing"
    return path, str(e)


def structure(raw, kind):
    """Returns an instance of `kind` built from a JSON value. Raises BadRequest naming the first wrong field."""
    try:
        return _converter.structure(raw, kind)
    except (ClassValidationError, IterableValidationError) as e:
        field, why = _first(e)
        raise BadRequest(f"{field}: {why}", code="bad_field", field=field) from e
    except (TypeError, ValueError, AttributeError) as e:
        raise BadRequest(f"the body must be an object: {e}", code="bad_body") from e


def read_json(request, kind):
    """Returns the request's JSON body as an instance of `kind`. Raises BadRequest where it cannot be one."""
    data = request.content.read()
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as e:
        raise BadRequest(f"the body is not JSON: {e}", code="bad_json") from e
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return structure(raw, kind)
