"""HTTP paths and JSON formats of the control interface."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from ..engine_memory import MAX_ENGINE_UPDATE_BYTES
from ..errors import BadRequest
from ..wire.cluster_pb2 import Bounds, Config, ConfigEdit, Pool, PoolShare, Route
from ..wire.membership_pb2 import EngineUpdate
from .json_fields import (
    FieldKind,
    JsonField,
    compact_json,
    fill_message,
    integer_of,
    items_of,
    names_of,
    parse_object,
    text_of,
)

__all__ = ["ControlFormat", "Endpoint"]

MAX_NAME_IN_ERROR = 60
TEXT, FLAG, SIGNED, LONG, AMOUNT = (
    FieldKind.TEXT,
    FieldKind.FLAG,
    FieldKind.SIGNED,
    FieldKind.LONG,
    FieldKind.AMOUNT,
)


class Endpoint(NamedTuple):
    """An HTTP endpoint of the control interface, and the name of its handler."""

    method: str
    path: str
    action: str


def _bad_field(text: str, field: str | None = None) -> BadRequest:
    return BadRequest(text, code="bad_field", field=field or "")


class ControlFormat:
    """HTTP paths and JSON formats of configurations, engine announcements, zones and storage node retirements.

    A platform overrides the class attributes, which map its names to those of the protobuf messages.
    """

    control_paths: tuple[Endpoint, ...] = (
        Endpoint("GET", "/v1/config", "show_config"),
        Endpoint("PUT", "/v1/config", "put_config"),
        Endpoint("PATCH", "/v1/config", "patch_config"),
        Endpoint("PUT", "/v1/zones/<zone>/empty", "empty_zone"),
        Endpoint("DELETE", "/v1/zones/<zone>/empty", "fill_zone"),
        Endpoint("PUT", "/v1/engines/<engine>", "put_engine"),
        Endpoint("DELETE", "/v1/engines/<engine>", "drop_engine"),
        Endpoint("POST", "/v1/storage_nodes/<storage_node>/retire", "retire"),
        Endpoint("GET", "/v1/storage_nodes/<storage_node>/retire", "show_retirement"),
    )

    routes_key = "routes"
    pools_key = "pools"
    bounds_key = "bounds"
    upserts_key = "puts"
    removals_key = "drops"
    route_fields: tuple[JsonField, ...] = (
        JsonField("name", "name", TEXT, required=True),
        JsonField("host", "host", TEXT, required=True),
        JsonField("prefix", "prefix", TEXT, required=True),
        JsonField("kind", "kind", TEXT, required=True),
        JsonField("deadline_ms", "deadline_ms", required=True),
        JsonField("aim_ms", "latency_target_ms"),
        JsonField("priority", "priority", SIGNED),
        JsonField("max_tries", "max_attempts"),
        JsonField("sticky", "sticky", FLAG),
        JsonField("resumable", "resumable", FLAG),
        JsonField("gap_ms", "gap_ms"),
        JsonField("max_waiting_tokens", "max_waiting_tokens", LONG),
        JsonField("due_ms", "due_ms"),
        JsonField("retain_ms", "retain_ms"),
    )
    pool_shares_key = "shares"
    single_pool_key = "pool"
    share_fields: tuple[JsonField, ...] = (
        JsonField("pool", "pool", TEXT, required=True),
        JsonField("share", "share", AMOUNT, required=True),
    )
    pool_fields: tuple[JsonField, ...] = (
        JsonField("name", "name", TEXT, required=True),
        JsonField("health_path", "health_path", TEXT),
        JsonField("max_connections", "max_connections"),
        JsonField("warmup_ms", "warmup_ms"),
        JsonField("cold_rate", "slow_start_rate", AMOUNT),
        JsonField("places", "slots"),
        JsonField("cache_tokens", "cache_tokens", LONG),
    )
    bounds_fields: tuple[JsonField, ...] = (
        JsonField("max_header_bytes", "max_header_bytes"),
        JsonField("max_body_bytes", "max_body_bytes"),
        JsonField("header_timeout_ms", "header_timeout_ms"),
        JsonField("idle_timeout_ms", "idle_timeout_ms"),
    )
    engine_fields: tuple[JsonField, ...] = (
        JsonField("pool", "pool", TEXT, required=True),
        JsonField("address", "address", TEXT, required=True),
        JsonField("zone", "zone", TEXT),
        JsonField("version", "version", TEXT),
        JsonField("capacity", "capacity"),
        JsonField("cold_ms", "slow_start_ms", LONG),
        JsonField("sequence", "sequence", LONG, required=True),
    )
    engine_states = {"ready": "ready", "leaving": "leaving"}
    models_key = "models"
    retirement_states = {"serving": "serving", "retired": "retired"}

    def parse_config_edit(self, body: bytes, base: int, replace: bool) -> ConfigEdit:
        """Returns the edit in the body of a PUT if `replace` is set, or else of a PATCH. Raises BadRequest."""
        document = parse_object(body)
        edit = ConfigEdit(base=base, version=integer_of(document, "version", 1), replace_all=replace)
        upserts, removals = (document, {}) if replace else self._partial_edit(document)
        edit.routes.extend(self._parse_route(route) for route in items_of(upserts, self.routes_key, replace))
        edit.pools.extend(self._parse_pool(pool) for pool in items_of(upserts, self.pools_key, replace))
        edit.removed_routes.extend(names_of(removals, self.routes_key))
        edit.removed_pools.extend(names_of(removals, self.pools_key))
        if replace or document.get(self.bounds_key) is not None:
            edit.bounds.CopyFrom(self._parse_bounds(document.get(self.bounds_key)))
        return edit

    def _partial_edit(self, document: dict[str, Any]) -> tuple[dict[str, Any], dict[str, Any]]:
        upserts, removals = document.get(self.upserts_key, {}), document.get(self.removals_key, {})
        if not isinstance(upserts, dict) or not isinstance(removals, dict):
            raise _bad_field(f"{self.upserts_key} and {self.removals_key} must be objects")
        return upserts, removals

    def _parse_route(self, raw: dict[str, Any]) -> Route:
        location = f"{self.routes_key}.{raw['name'][:MAX_NAME_IN_ERROR]}"
        route = fill_message(raw, self.route_fields, Route(source=compact_json(raw)), location)
        shares, single_pool = raw.get(self.pool_shares_key), raw.get(self.single_pool_key)
        if (shares is None) == (single_pool is None):
            text = f"{location} needs one of {self.pool_shares_key} and {self.single_pool_key}"
            raise _bad_field(text, self.pool_shares_key)
        if single_pool is not None:
            route.shares.append(PoolShare(pool=text_of(raw, self.single_pool_key, location + "."), share=1))
        else:
            route.shares.extend(self._parse_shares(shares, f"{location}.{self.pool_shares_key}"))
        return route

    def _parse_shares(self, raw: Any, location: str) -> list[PoolShare]:
        if not isinstance(raw, list) or not all(isinstance(share, dict) for share in raw):
            raise _bad_field(f"{location} must be a list of objects", self.pool_shares_key)
        return [fill_message(share, self.share_fields, PoolShare(), location) for share in raw]

    def _parse_pool(self, raw: dict[str, Any]) -> Pool:
        location = f"{self.pools_key}.{raw['name'][:MAX_NAME_IN_ERROR]}"
        return fill_message(raw, self.pool_fields, Pool(source=compact_json(raw)), location)

    def _parse_bounds(self, raw: Any) -> Bounds:
        if not isinstance(raw, dict):
            raise _bad_field(f"{self.bounds_key} must be an object", self.bounds_key)
        return fill_message(raw, self.bounds_fields, Bounds(source=compact_json(raw)), self.bounds_key)

    def format_config(self, config: Config) -> bytes:
        """Returns the complete configuration, with each route and pool as it was submitted."""
        return b'{"version":%d,"%b":[%b],"%b":[%b],"%b":%b}' % (
            config.version,
            self.routes_key.encode(),
            b",".join(route.source for route in config.routes),
            self.pools_key.encode(),
            b",".join(pool.source for pool in config.pools),
            self.bounds_key.encode(),
            config.bounds.source or b"{}",
        )

    def parse_engine_update(self, engine: str, body: bytes) -> EngineUpdate:
        """Returns an engine's announcement from a request body. Raises BadRequest."""
        document = parse_object(body)
        update = fill_message(document, self.engine_fields, EngineUpdate(engine=engine, incarnation=1), "engine")
        state = document.get("state")
        if not isinstance(state, str) or state not in self.engine_states:
            raise _bad_field(f"state must be one of {', '.join(self.engine_states)}", "state")
        update.state = self.engine_states[state]
        update.models.extend(self.parse_models(document.get(self.models_key) or []))
        if update.ByteSize() > MAX_ENGINE_UPDATE_BYTES:
            raise BadRequest(
                f"an announcement must have at most {MAX_ENGINE_UPDATE_BYTES} bytes", code="bad_field", status=413
            )
        return update

    def parse_models(self, raw: Any) -> list[str]:
        """Returns the names of an engine's models. Raises BadRequest."""
        if not isinstance(raw, list) or not all(isinstance(model, str) for model in raw):
            raise _bad_field(f"{self.models_key} must be a list of names", self.models_key)
        return raw

    def format_engine_response(self) -> bytes:
        """Returns the body of the response to an engine announcement."""
        return b"{}"

    def format_retirement(self, state: str) -> bytes:
        """Returns the body of a response with the state of a storage node's retirement, `serving` or `retired`."""
        return json.dumps({"state": self.retirement_states[state]}).encode()
