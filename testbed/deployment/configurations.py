"""The routes of a soak run, and the configurations that its operator hands in."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from .bounds import LIMITS
from .record import RouteKind

__all__ = [
    "HOST",
    "ROUTE_KINDS",
    "SERVICES",
    "SWAPPED_SERVICES",
    "configuration",
    "padding_routes",
    "service_of",
    "with_routes",
]

HOST = "soak.example"
SERVICES = ("lm", "api", "alt")
SWAPPED_SERVICES = ("api", "alt")
SWAPPED = "swap"
LIVE_DEADLINE_MS = 6000
PLAIN_DEADLINE_MS = 4000
RETAIN_S = 120.0
PADDING_ROUTE_BYTES = 1000
QUEUE_TOKENS = 4_000_000
ENGINE = {
    "slots": 24,
    "cache_tokens": 379_754,
    "cache_token_bytes": 327_680,
    "nic_mbps": 1_100_000.0,
    "stride": 16,
    "model_list": [{"name": "m"}],
}
STREAM: dict[str, Any] = {"sticky": True, "gap_target_ms": 300}

ROUTE_KINDS = {
    "quick": RouteKind.STREAMING,
    "once": RouteKind.STREAMING,
    "write": RouteKind.MUTATING,
    "read": RouteKind.IDEMPOTENT,
    SWAPPED: RouteKind.IDEMPOTENT,
    "rounds": RouteKind.BULK,
}


def _route(name: str, kind: RouteKind, service: str, **fields: Any) -> dict[str, Any]:
    deadline_ms = LIVE_DEADLINE_MS if kind == RouteKind.STREAMING else PLAIN_DEADLINE_MS
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind.value,
        "deadline_ms": deadline_ms,
        "target_latency_ms": 300,
        "priority": 0,
        "backend": service,
        "max_tries": 2,
        **fields,
    }


def _service(name: str) -> dict[str, Any]:
    service = {
        "name": name,
        "health_path": "/health",
        "max_conns": 210,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 0.0,
        "cold_per_s": 0.0,
    }
    return {**service, "engine": ENGINE} if name == "lm" else service


def configuration(
    version: int, swapped_service: str, extra_routes: list[str], limits: Mapping[str, int] = LIMITS
) -> dict[str, Any]:
    """Returns a whole configuration with the routes of all kinds, and more idempotent ones by name."""
    bulk = {"queue_cap_tokens": QUEUE_TOKENS, "completion_target_ms": 10_000, "retain_s": RETAIN_S}
    routes = [
        _route("quick", RouteKind.STREAMING, "lm", resumable=True, **STREAM),
        _route("once", RouteKind.STREAMING, "lm", resumable=False, **{**STREAM, "max_tries": 1}),
        _route("write", RouteKind.MUTATING, "api"),
        _route("read", RouteKind.IDEMPOTENT, "api"),
        _route(SWAPPED, RouteKind.IDEMPOTENT, swapped_service),
        _route("rounds", RouteKind.BULK, "lm", **bulk),
        *(_route(name, RouteKind.IDEMPOTENT, "api") for name in extra_routes),
    ]
    return {
        "version": version,
        "routes": routes,
        "backends": [_service(name) for name in SERVICES],
        "limits": dict(limits),
    }


def padding_routes(size: int) -> list[dict[str, Any]]:
    """Returns routes that nobody uses and that take about `size` bytes."""
    prefix = "p" * PADDING_ROUTE_BYTES
    return [_route(f"{prefix}{number}", RouteKind.IDEMPOTENT, "api") for number in range(size // PADDING_ROUTE_BYTES)]


def service_of(config: dict[str, Any], route: str) -> str | None:
    """Returns the service of a route in a configuration, or None if it has no such route."""
    return next((str(row["backend"]) for row in config["routes"] if row["name"] == route), None)


def with_routes(config: dict[str, Any]) -> str:
    """Returns the routes of a configuration as text, to compare two of them."""
    return json.dumps(sorted((row["name"], row["backend"]) for row in config["routes"]))
