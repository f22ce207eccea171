"""Typed and validated JSON bodies of the models interface."""

# No `from __future__ import annotations` here: cattrs evaluates the types of the fields.
import json
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError
from twisted.web.server import Request

from ..errors import BadRequest

__all__ = ["read_json", "GenerateBody", "BatchBody", "ItemBody", "EngineBody", "structure"]

MAX_NAME_LENGTH = 200
MAX_ZONE_LENGTH = 64
MAX_LIVE_PROMPT_LENGTH = 512 * 1024
MAX_ITEM_PROMPT_LENGTH = 256 * 1024
MAX_TOKENS = 32_768
DEFAULT_MAX_TOKENS = 256
MAX_BATCH_ITEMS = 100_000
MAX_PRIORITY = 100
MAX_ENGINE_MODELS = 256
MAX_ENGINE_CAPACITY = 10_000
MAX_INCARNATION = 2**63
DEFAULT_LIVE_LIMIT_MS = 30_000
MAX_LIVE_LIMIT_MS = 3_600_000
DEFAULT_BATCH_LIMIT_MS = 86_400_000
MAX_BATCH_LIMIT_MS = 30 * 86_400_000
MAX_PORT = 65_535

BodyT = TypeVar("BodyT")
Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def _exact_type_hook(expected: type) -> Callable[[Any, Any], Any]:
    """Returns a structure hook that accepts values of exactly one type; by default cattrs converts other types."""

    def _structure(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"must be {expected.__name__}, not {type(value).__name__}")
        return value

    return _structure


_converter = cattrs.Converter(forbid_extra_keys=True)
for _exact_type in (str, int, bool):
    _converter.register_structure_hook(_exact_type, _exact_type_hook(_exact_type))


def _between(low: int, high: int) -> Validator:
    def _check(_: Any, __: "attrs.Attribute[Any]", value: int) -> None:
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")

    return _check


def _sized(max_length: int, min_length: int = 0) -> Validator:
    def _check(_: Any, __: "attrs.Attribute[Any]", value: str | list[Any]) -> None:
        if not min_length <= len(value) <= max_length:
            unit = "characters" if isinstance(value, str) else "entries"
            raise ValueError(f"must have {min_length} to {max_length} {unit}")

    return _check


@attrs.frozen(kw_only=True)
class GenerateBody:
    """A live request for one model; `limit_ms` is its time limit in milliseconds."""

    model: str = attrs.field(validator=_sized(MAX_NAME_LENGTH, 1))
    prompt: str = attrs.field(validator=_sized(MAX_LIVE_PROMPT_LENGTH))
    prefix_key: str = attrs.field(default="", validator=_sized(MAX_NAME_LENGTH))
    repeatable: bool = False
    stream: bool = True
    limit_ms: int = attrs.field(default=DEFAULT_LIVE_LIMIT_MS, validator=_between(1, MAX_LIVE_LIMIT_MS))
    max_tokens: int = attrs.field(default=DEFAULT_MAX_TOKENS, validator=_between(1, MAX_TOKENS))


@attrs.frozen(kw_only=True)
class ItemBody:
    """One item of a batch."""

    model: str = attrs.field(validator=_sized(MAX_NAME_LENGTH, 1))
    prompt: str = attrs.field(validator=_sized(MAX_ITEM_PROMPT_LENGTH))
    prefix_key: str = attrs.field(default="", validator=_sized(MAX_NAME_LENGTH))
    repeatable: bool = False
    max_tokens: int = attrs.field(default=DEFAULT_MAX_TOKENS, validator=_between(1, MAX_TOKENS))


@attrs.frozen(kw_only=True)
class BatchBody:
    """A submitted batch; `limit_ms` is how long after its arrival items may still be started, in milliseconds."""

    items: list[ItemBody] = attrs.field(validator=_sized(MAX_BATCH_ITEMS, 1))
    customer: str = attrs.field(default="", validator=_sized(MAX_NAME_LENGTH))
    priority: int = attrs.field(default=0, validator=_between(-MAX_PRIORITY, MAX_PRIORITY))
    limit_ms: int = attrs.field(default=DEFAULT_BATCH_LIMIT_MS, validator=_between(1, MAX_BATCH_LIMIT_MS))
    idempotency_key: str = attrs.field(default="", validator=_sized(MAX_NAME_LENGTH))


def _model_names(_: Any, __: "attrs.Attribute[Any]", value: list[str]) -> None:
    if len(value) > MAX_ENGINE_MODELS or any(len(name) > MAX_NAME_LENGTH for name in value):
        raise ValueError(f"must have at most {MAX_ENGINE_MODELS} entries of {MAX_NAME_LENGTH} characters")


def _engine_state(_: Any, __: "attrs.Attribute[Any]", value: str) -> None:
    if value not in ("ready", "leaving"):
        raise ValueError("must be 'ready' or 'leaving'")


def _host_port(_: Any, __: "attrs.Attribute[Any]", value: str) -> None:
    host, _separator, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("must be IP:PORT")


@attrs.frozen(kw_only=True)
class EngineBody:
    """An engine's announcement of itself; `address` is IP:PORT, `capacity` the requests it runs at once."""

    engine: str = attrs.field(validator=_sized(MAX_NAME_LENGTH, 1))
    address: str = attrs.field(validator=_host_port)
    pool: str = attrs.field(validator=_sized(MAX_NAME_LENGTH, 1))
    zone: str = attrs.field(validator=_sized(MAX_ZONE_LENGTH, 1))
    models: list[str] = attrs.field(factory=list, validator=_model_names)
    capacity: int = attrs.field(default=1, validator=_between(1, MAX_ENGINE_CAPACITY))
    incarnation: int = attrs.field(default=1, validator=_between(0, MAX_INCARNATION))
    state: str = attrs.field(default="ready", validator=_engine_state)


@attrs.frozen
class _FieldError:
    """The path of an invalid field in a body, and the reason why it is invalid."""

    path: str
    reason: str


def _first_field_error(error: BaseException, path: str = "") -> _FieldError:
    if isinstance(error, (ClassValidationError, IterableValidationError)):
        cause = error.exceptions[0]
        return _first_field_error(cause, _path_of(cause, path))
    if isinstance(error, ForbiddenExtraKeysError):
        name = sorted(error.extra_fields)[0]
        return _FieldError(f"{path}.{name}".strip("."), "unknown field")
    if isinstance(error, KeyError):
        name = error.args[0]
        return _FieldError(path if path == name else f"{path}.{name}".strip("."), "is missing")
    return _FieldError(path, str(error))


def _path_of(error: BaseException, path: str) -> str:
    """Returns the path of the field that caused an error below `path`, from the notes that cattrs attaches to it."""
    name = path
    for location in getattr(error, "__notes__", ()):
        if hasattr(location, "name"):
            name = f"{path}.{location.name}".strip(".")
        elif hasattr(location, "index"):
            name = f"{path}[{location.index}]"
    return name


def structure(raw: Any, body_type: type[BodyT]) -> BodyT:
    """Returns an instance of `body_type` built from a JSON value. Raises BadRequest naming the first invalid field."""
    try:
        return _converter.structure(raw, body_type)
    except (ClassValidationError, IterableValidationError) as error:
        field_error = _first_field_error(error)
        raise BadRequest(
            f"{field_error.path}: {field_error.reason}", code="bad_field", field=field_error.path
        ) from error
    except (TypeError, ValueError, AttributeError) as error:
        raise BadRequest(f"the body must be an object: {error}", code="bad_body") from error


def read_json(request: Request, body_type: type[BodyT]) -> BodyT:
    """Returns the request's JSON body as an instance of `body_type`. Raises BadRequest if it is invalid."""
    assert request.content is not None
    data = request.content.read()
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"the body is not JSON: {error}", code="bad_json") from error
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return structure(raw, body_type)
