"""The settings of a node: defaults, validation, and reading them from a TOML file and command-line flags."""

# No `from __future__ import annotations` here: cattrs needs the types of the fields at run time.
import re
import tomllib
from collections.abc import Iterable, Mapping
from ipaddress import ip_address
from pathlib import Path
from typing import Any, TypeAlias

import attrs

from .errors import SettingsError

__all__ = ["Settings", "read_settings", "ROLES"]

ROLES = ("gateway", "storage", "controller")
RENAMED_SETTINGS = {"shelves": "placement_groups"}
"""Setting names of earlier releases, mapped to their current names."""

INTERFACES = ("models", "routes")
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65535
WILDCARD_ADDRESSES = ("0.0.0.0", "::")
_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9_.-]{0,62}$")

_Attribute: TypeAlias = "attrs.Attribute[Any]"


def _check_port(_settings: object, attribute: _Attribute, value: int) -> None:
    if not 0 <= value <= MAX_PORT:
        raise ValueError(f"{attribute.name} must be between 0 and 65535, not {value}")


def _check_ip(_settings: object, attribute: _Attribute, value: str) -> None:
    try:
        ip_address(value)
    except ValueError:
        raise ValueError(f"{attribute.name} must be an IP address, not {value!r}") from None


def _check_optional_ip(settings: object, attribute: _Attribute, value: str) -> None:
    if value:
        _check_ip(settings, attribute, value)


def _check_name(_settings: object, attribute: _Attribute, value: str) -> None:
    if not _NAME_PATTERN.match(value):
        raise ValueError(f"{attribute.name} must be up to 63 lower-case letters, digits, _, . or -, not {value!r}")


def _check_optional_name(settings: object, attribute: _Attribute, value: str) -> None:
    if value:
        _check_name(settings, attribute, value)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _check_addresses(_settings: object, attribute: _Attribute, value: tuple[str, ...]) -> None:
    for address in value:
        if not _is_address(address):
            raise ValueError(f"{attribute.name} must be IP:PORT addresses, not {address!r}")


def _check_listener(settings: object, attribute: _Attribute, value: str) -> None:
    if value:
        _check_addresses(settings, attribute, (value.partition("/")[0],))


def _check_positive(_settings: object, attribute: _Attribute, value: int) -> None:
    if value <= 0:
        raise ValueError(f"{attribute.name} must be above 0, not {value}")


def _check_not_negative(_settings: object, attribute: _Attribute, value: int) -> None:
    if value < 0:
        raise ValueError(f"{attribute.name} must be 0 or more, not {value}")


def _check_fraction(_settings: object, attribute: _Attribute, value: float) -> None:
    if not 0 <= value < 1:
        raise ValueError(f"{attribute.name} must be at least 0 and below 1, not {value}")


def _check_interface(_settings: object, attribute: _Attribute, value: str) -> None:
    if value not in INTERFACES:
        raise ValueError(f"{attribute.name} must be one of {', '.join(INTERFACES)}, not {value!r}")


def _check_log_level(_settings: object, attribute: _Attribute, value: str) -> None:
    if value not in LOG_LEVELS:
        raise ValueError(f"{attribute.name} must be one of {', '.join(LOG_LEVELS)}, not {value!r}")


def _text_or_empty(value: str | None) -> str:
    return value or ""


def _text_tuple(values: Iterable[str]) -> tuple[str, ...]:
    return tuple(values)


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one node, validated. Names of durations end in `_ms` or `_s`, those of sizes in `_kb` or `_mb`.

    The command line's help lists them in this order. Raises ValueError if a value is out of bounds.
    """

    # Identity and addresses. Port 0 lets the system choose a port; for optional ports it means none.
    fleet: str = attrs.field(default="pipit", validator=_check_name)
    name: str = attrs.field(default="", validator=_check_optional_name)
    zone: str = attrs.field(default="zone-a", validator=_check_name)
    bind: str = attrs.field(default="127.0.0.1", validator=_check_ip)
    # The address that peers connect to, if it is not `bind`; required if `bind` is a wildcard.
    advertise: str = attrs.field(default="", converter=_text_or_empty, validator=_check_optional_ip)
    port: int = attrs.field(default=0, validator=_check_port)
    http_port: int = attrs.field(default=0, validator=_check_port)
    operator_port: int = attrs.field(default=0, validator=_check_port)
    ready_port: int = attrs.field(default=0, validator=_check_port)
    # Whether a gateway selects engines by model or by the routes of the configuration.
    interface: str = attrs.field(default="models", validator=_check_interface)
    # How long a gateway serves from a cluster state that no leader has confirmed as current.
    unproved_s: int = attrs.field(default=0, validator=_check_not_negative)
    # Graceful shutdown: how long new connections are still accepted, and how long the drain may take in total.
    accept_ms: int = attrs.field(default=0, validator=_check_not_negative)
    drain_ms: int = attrs.field(default=6000, validator=_check_positive)
    control_port: int = attrs.field(default=0, validator=_check_port)
    seeds: tuple[str, ...] = attrs.field(factory=tuple, converter=_text_tuple, validator=_check_addresses)
    # The first voters of a new cluster.
    founders: tuple[str, ...] = attrs.field(factory=tuple, converter=_text_tuple, validator=_check_addresses)

    # Storage.
    data: str = ""
    budget_mb: int = attrs.field(default=1024, validator=_check_positive)
    log_level: str = attrs.field(default="info", validator=_check_log_level)
    placement_groups: int = attrs.field(default=16, validator=_check_positive)
    machine_losses: int = attrs.field(default=1, validator=_check_positive)

    # What the process may use; what it holds for clients follows these limits.
    memory_mb: int = attrs.field(default=512, validator=_check_positive)
    max_descriptors: int = attrs.field(default=4096, validator=_check_positive)

    # Limits on requests and batches.
    max_body_kb: int = attrs.field(default=1024, validator=_check_positive)
    max_items: int = attrs.field(default=1000, validator=_check_positive)
    max_running: int = attrs.field(default=512, validator=_check_positive)
    # The fraction of each engine's capacity that batches leave free.
    lot_reserve: float = attrs.field(default=0.25, validator=_check_fraction)

    # Reads of replicated logs: polling, hedged requests and the cache.
    poll_ms: int = attrs.field(default=50, validator=_check_positive)
    hot_poll_ms: int = attrs.field(default=10, validator=_check_positive)
    durable_poll_ms: int = attrs.field(default=250, validator=_check_positive)
    hedge_ms: int = attrs.field(default=30, validator=_check_positive)
    # The maximum time that a durable read waits for the cache to catch up.
    postpone_ms: int = attrs.field(default=200, validator=_check_positive)
    chunk_ttl_s: int = attrs.field(default=600, validator=_check_positive)
    cache_mb: int = attrs.field(default=64, validator=_check_positive)
    reader_kb_s: int = attrs.field(default=20480, validator=_check_positive)

    engine_silence_s: int = attrs.field(default=30, validator=_check_positive)
    # How long a run continues after its client has disconnected.
    resume_hold_s: int = attrs.field(default=5, validator=_check_positive)
    retention_s: int = attrs.field(default=86400, validator=_check_positive)
    # The listener for CloudEvents, as IP:PORT/PATH.
    changes_to: str = attrs.field(default="", validator=_check_listener)
    # A plug-in for fault injection, MODULE:ARGUMENT.
    plug: str = ""

    @property
    def host(self) -> str:
        """The address that peers connect to."""
        return self.advertise or self.bind

    @property
    def replica_count(self) -> int:
        """The number of voters and of replicas of each log: a majority survives `machine_losses` concurrent losses."""
        return 2 * self.machine_losses + 1


_FIELDS: dict[str, _Attribute] = {field.name: field for field in attrs.fields(Settings)}


def _check_role(role: str, settings: Settings) -> list[str]:
    """Returns a line for each setting that is missing for the role or inconsistent with another setting."""
    lines = []
    if role != "gateway" and not settings.data:
        lines.append(f"data: a {role} requires a data folder")
    if settings.bind in WILDCARD_ADDRESSES and not settings.advertise:
        lines.append("advertise: required if bind is a wildcard")
    return lines


def _unknown_setting(name: str) -> str:
    if name in RENAMED_SETTINGS:
        return f"this setting is now called {RENAMED_SETTINGS[name]}"
    return "no such setting"


def _read_file(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError([f"settings: {path}: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"settings: {path}: {error}"]) from error


def _convert(name: str, value: Any) -> Any:
    """Converts a raw value to its setting's type. Raises an exception whose text describes what is wrong."""
    import cattrs

    field_type = _FIELDS[name].type
    if field_type is int and isinstance(value, float):
        raise ValueError(f"{value!r} is not a whole number")
    if field_type == tuple[str, ...] and isinstance(value, str):
        value = [part for part in value.split(",") if part]
    structured = cattrs.structure(value, field_type)  # type: ignore[arg-type] # each field has a type annotation
    Settings(**{name: structured})
    return structured


def read_settings(role: str, path: str | None, flags: Mapping[str, Any]) -> Settings:
    """Reads settings from a TOML file if `path` is given, and from flags, which take precedence, and validates them.

    Raises SettingsError with a line for each invalid setting.
    """
    raw = _read_file(path) if path else {}
    raw.update({name: value for name, value in flags.items() if value is not None})
    lines: list[str] = []
    values: dict[str, Any] = {}
    for raw_name, value in raw.items():
        name = raw_name.replace("-", "_")
        if name not in _FIELDS:
            lines.append(f"{name}: {_unknown_setting(name)}")
            continue
        try:
            values[name] = _convert(name, value)
        except Exception as error:
            lines.append(f"{name}: {error}")
    if lines:
        raise SettingsError(lines)
    settings = Settings(**values)
    lines = _check_role(role, settings)
    if lines:
        raise SettingsError(lines)
    return settings
