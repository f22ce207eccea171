"""The settings of a node: defaults, checks, and reading them from a TOML file and flags."""

import re
import tomllib
from ipaddress import ip_address
from pathlib import Path

import attrs

from .errors import SettingsError

__all__ = ["Settings", "read_settings", "ROLES"]

ROLES = ("gateway", "storage", "controller")
RENAMED = {"shelves": "placement_groups"}
"""Settings by the names that earlier releases knew, and what they are called now."""

_INTERFACES = ("models", "routes")
_LEVELS = ("debug", "info", "warning", "error")
_NAME = re.compile(r"^[a-z0-9][a-z0-9_.-]{0,62}$")


def _port(_, a, value):
    if not 0 <= value <= 65535:
        raise ValueError(f"{a.name} must be between 0 and 65535, not {value}")


def _address(_, a, value):
    try:
        ip_address(value)
    except ValueError:
        raise ValueError(f"{a.name} must be an IP number, not {value!r}") from None


def _name(_, a, value):
    if not _NAME.match(value):
        raise ValueError(f"{a.name} must be a short lower-case name, not {value!r}")


def _name_or_none(_, a, value):
    if value:
        _name(_, a, value)


def _places(_, a, value):
    for place in value:
        host, _, port = place.rpartition(":")
        try:
            ip_address(host)
            ok = 0 < int(port) < 65536
        except ValueError:
            ok = False
        if not ok:
            raise ValueError(f"{a.name} must be IP:PORT places, not {place!r}")


def _listener(_, a, value):
    if value:
        _places(_, a, [value.partition("/")[0]])


def _positive(_, a, value):
    if value <= 0:
        raise ValueError(f"{a.name} must be above 0, not {value}")


def _level(_, a, value):
    if value not in _LEVELS:
        raise ValueError(f"{a.name} must be one of {', '.join(_LEVELS)}, not {value!r}")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one node, checked. Spans end in their unit: `_ms`, `_s`; sizes in `_kb` or `_mb`.

    Raises ValueError where a value is out of its bounds.
    """

    fleet: str = attrs.field(default="pipit", validator=_name)
    name: str = attrs.field(default="", validator=_name_or_none)
    zone: str = attrs.field(default="zone-a", validator=_name)
    bind: str = attrs.field(default="127.0.0.1", validator=_address)
    advertise: str = attrs.field(default="", converter=lambda v: v or "")
    port: int = attrs.field(default=0, validator=_port)
    http_port: int = attrs.field(default=0, validator=_port)
    operator_port: int = attrs.field(default=0, validator=_port)
    ready_port: int = attrs.field(default=0, validator=_port)
    interface: str = attrs.field(default="models")
    unproved_s: int = attrs.field(default=0)
    accept_ms: int = attrs.field(default=0)
    drain_ms: int = attrs.field(default=6000, validator=_positive)
    control_port: int = attrs.field(default=0, validator=_port)
    seeds: tuple[str, ...] = attrs.field(factory=tuple, converter=tuple, validator=_places)
    founders: tuple[str, ...] = attrs.field(factory=tuple, converter=tuple, validator=_places)
    data: str = ""
    budget_mb: int = attrs.field(default=1024, validator=_positive)
    log_level: str = attrs.field(default="info", validator=_level)
    placement_groups: int = attrs.field(default=16, validator=_positive)
    machine_losses: int = attrs.field(default=1, validator=_positive)
    max_body_kb: int = attrs.field(default=1024, validator=_positive)
    max_items: int = attrs.field(default=1000, validator=_positive)
    max_running: int = attrs.field(default=512, validator=_positive)
    lot_reserve: float = attrs.field(default=0.25)
    poll_ms: int = attrs.field(default=50, validator=_positive)
    hot_poll_ms: int = attrs.field(default=10, validator=_positive)
    durable_poll_ms: int = attrs.field(default=250, validator=_positive)
    hedge_ms: int = attrs.field(default=30, validator=_positive)
    postpone_ms: int = attrs.field(default=200, validator=_positive)
    chunk_ttl_s: int = attrs.field(default=600, validator=_positive)
    cache_mb: int = attrs.field(default=64, validator=_positive)
    reader_kb_s: int = attrs.field(default=20480, validator=_positive)
    engine_silence_s: int = attrs.field(default=30, validator=_positive)
    resume_hold_s: int = attrs.field(default=5, validator=_positive)
    retention_s: int = attrs.field(default=86400, validator=_positive)
    changes_to: str = attrs.field(default="", validator=_listener)
    plug: str = ""

    @lot_reserve.validator
    def _share(self, a, value):
        if not 0 <= value < 1:
            raise ValueError(f"lot_reserve must be from 0 up to 1, not {value}")

    @interface.validator
    def _interface(self, a, value):
        if value not in _INTERFACES:
            raise ValueError(f"interface must be one of {', '.join(_INTERFACES)}, not {value!r}")

    @unproved_s.validator
    @accept_ms.validator
    def _not_below(self, a, value):
        if value < 0:
            raise ValueError(f"{a.name} must not be below 0, not {value}")

    @advertise.validator
    def _advertised(self, a, value):
        if value:
            _address(self, a, value)

    @property
    def host(self) -> str:
        return self.advertise or self.bind

    @property
    def copies(self) -> int:
        """How many voters, and how many copies of each log: a majority is left after all losses to be borne at once."""
        return 2 * self.machine_losses + 1


def _check(role: str, p: Settings) -> list[str]:
    lines = []
    if role != "gateway" and not p.data:
        lines.append(f"data: a {role} needs a data folder")
    if p.bind in ("0.0.0.0", "::") and not p.advertise:
        lines.append("advertise: needed when bind is a wildcard")
    return lines


def _unknown(name: str) -> str:
    if name in RENAMED:
        return f"this setting is now called {RENAMED[name]}"
    return "no such setting"


def read_settings(role: str, path: str | None, flags: dict) -> Settings:
    """Reads a TOML file, if one is named, and flags over it, and checks all of it for a role.

    Raises SettingsError with a line for each setting that is refused.
    """
    import cattrs

    lines: list[str] = []
    raw: dict = {}
    if path:
        try:
            raw = tomllib.loads(Path(path).read_text())
        except OSError as e:
            raise SettingsError([f"settings: {path}: {e.strerror}"]) from e
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
            raise SettingsError([f"settings: {path}: {e}"]) from e
    raw.update({k: v for k, v in flags.items() if v is not None})
    fields = {a.name: a for a in attrs.fields(Settings)}
    words = {}
    for name, value in raw.items():
        name = name.replace("-", "_")
        if name not in fields:
            lines.append(f"{name}: {_unknown(name)}")
            continue
        a = fields[name]
        try:
            if a.type is int and isinstance(value, float):
                raise ValueError(f"{value!r} is not a whole number")
            if a.type == tuple[str, ...] and isinstance(value, str):
                value = [v for v in value.split(",") if v]
            words[name] = cattrs.structure(value, a.type)
            Settings(**{name: words[name]})
        except Exception as e:
            lines.append(f"{name}: {e}")
    if not lines:
        p = Settings(**words)
        lines = _check(role, p)
        if not lines:
            return p
    raise SettingsError(lines)
