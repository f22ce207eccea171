"""Paths and JSON shapes of the control interface."""

import json

from ..errors import BadRequest
from ..wire.cluster_pb2 import Bounds, Config, ConfigEdit, Pool, PoolShare, Route
from ..wire.membership_pb2 import EngineUpdate
from .reading import Field, count_of, items_of, names_of, read_fields, read_json, source_of, text_of

__all__ = ["ControlFormat"]


class ControlFormat:
    """Paths and JSON shapes of configurations, engine announcements, zones and retirements.

    Mixin of Dialect: needs and owns nothing. A platform overrides the class attributes, which map its names to ours.
    """

    control_paths = (
        ("GET", "/v1/config", "show_config"),
        ("PUT", "/v1/config", "put_config"),
        ("PATCH", "/v1/config", "patch_config"),
        ("PUT", "/v1/zones/<zone>/empty", "empty_zone"),
        ("DELETE", "/v1/zones/<zone>/empty", "fill_zone"),
        ("PUT", "/v1/engines/<engine>", "put_engine"),
        ("DELETE", "/v1/engines/<engine>", "drop_engine"),
        ("POST", "/v1/storage_nodes/<storage_node>/retire", "retire"),
        ("GET", "/v1/storage_nodes/<storage_node>/retire", "show_retirement"),
    )
    routes_word, pools_word, bounds_word = "routes", "pools", "bounds"
    puts_word, drops_word = "puts", "drops"
    route_fields = (
        Field("name", "name", "text", needed=True),
        Field("host", "host", "text", needed=True),
        Field("prefix", "prefix", "text", needed=True),
        Field("kind", "kind", "text", needed=True),
        Field("deadline_ms", "deadline_ms", needed=True),
        Field("aim_ms", "latency_target_ms"),
        Field("priority", "priority", "rank"),
        Field("max_tries", "max_attempts"),
        Field("sticky", "sticky", "flag"),
        Field("resumable", "resumable", "flag"),
        Field("gap_ms", "gap_ms"),
        Field("max_waiting_tokens", "max_waiting_tokens", "long"),
        Field("due_ms", "due_ms"),
        Field("retain_ms", "retain_ms"),
    )
    pool_fields = (
        Field("name", "name", "text", needed=True),
        Field("health_path", "health_path", "text"),
        Field("max_connections", "max_connections"),
        Field("warmup_ms", "warmup_ms"),
        Field("cold_rate", "slow_start_rate", "amount"),
        Field("places", "slots"),
        Field("cache_tokens", "cache_tokens", "long"),
    )
    bounds_fields = tuple(
        Field(f, f) for f in ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms")
    )
    shares_word, single_word, share_pool_word, share_word = "shares", "pool", "pool", "share"
    engine_fields = (
        Field("pool", "pool", "text", needed=True),
        Field("address", "address", "text", needed=True),
        Field("zone", "zone", "text"),
        Field("version", "version", "text"),
        Field("capacity", "capacity"),
        Field("cold_ms", "slow_start_ms", "long"),
        Field("sequence", "sequence", "long", needed=True),
    )
    engine_states = {"ready": "ready", "leaving": "leaving"}
    models_word = "models"
    retirement_states = {"serving": "serving", "retired": "retired"}

    def parse_config_edit(self, body: bytes, base: int, whole: bool) -> ConfigEdit:
        raw = read_json(body)
        out = ConfigEdit(base=base, version=count_of(raw, "version", 1), replace_all=whole)
        puts, drops = raw, {}
        if not whole:
            puts, drops = raw.get(self.puts_word, {}), raw.get(self.drops_word, {})
            if not isinstance(puts, dict) or not isinstance(drops, dict):
                raise BadRequest(f"{self.puts_word} and {self.drops_word} must be objects", code="bad_field")
        out.routes.extend(self._route(r) for r in items_of(puts, self.routes_word, whole))
        out.pools.extend(self._pool(p) for p in items_of(puts, self.pools_word, whole))
        out.removed_routes.extend(names_of(drops, self.routes_word))
        out.removed_pools.extend(names_of(drops, self.pools_word))
        if whole or raw.get(self.bounds_word) is not None:
            out.bounds.CopyFrom(self._bounds(raw.get(self.bounds_word)))
        return out

    def _route(self, raw: dict) -> Route:
        where = f"{self.routes_word}.{raw['name'][:60]}"
        r = read_fields(raw, self.route_fields, Route(source=source_of(raw)), where)
        shares, single = raw.get(self.shares_word), raw.get(self.single_word)
        if (shares is None) == (single is None):
            raise BadRequest(
                f"{where} needs one of {self.shares_word} and {self.single_word}",
                code="bad_field",
                field=self.shares_word,
            )
        if single is not None:
            r.shares.append(PoolShare(pool=text_of(raw, self.single_word, where + "."), share=1))
            return r
        if not isinstance(shares, list) or not all(isinstance(s, dict) for s in shares):
            raise BadRequest(
                f"{where}.{self.shares_word} must be a list of objects", code="bad_field", field=self.shares_word
            )
        fields = (
            Field(self.share_pool_word, "pool", "text", needed=True),
            Field(self.share_word, "share", "amount", needed=True),
        )
        r.shares.extend(read_fields(s, fields, PoolShare(), f"{where}.{self.shares_word}") for s in shares)
        return r

    def _pool(self, raw: dict) -> Pool:
        return read_fields(raw, self.pool_fields, Pool(source=source_of(raw)), f"{self.pools_word}.{raw['name'][:60]}")

    def _bounds(self, raw) -> Bounds:
        if not isinstance(raw, dict):
            raise BadRequest(f"{self.bounds_word} must be an object", code="bad_field", field=self.bounds_word)
        return read_fields(raw, self.bounds_fields, Bounds(source=source_of(raw)), self.bounds_word)

    def format_config(self, c: Config) -> bytes:
        """The whole configuration, each item as it was sent."""
        parts = [
            (self.routes_word, b"[%b]" % b",".join(r.source for r in c.routes)),
            (self.pools_word, b"[%b]" % b",".join(p.source for p in c.pools)),
            (self.bounds_word, c.bounds.source or b"{}"),
        ]
        return b'{"version":%d,%b}' % (c.version, b",".join(b'"%b":%b' % (w.encode(), s) for w, s in parts))

    def parse_engine_update(self, engine: str, body: bytes) -> EngineUpdate:
        raw = read_json(body)
        n = read_fields(raw, self.engine_fields, EngineUpdate(engine=engine, incarnation=1), "engine")
        state = raw.get("state")
        if not isinstance(state, str) or state not in self.engine_states:
            raise BadRequest(f"state must be one of {', '.join(self.engine_states)}", code="bad_field", field="state")
        n.state = self.engine_states[state]
        n.models.extend(self.engine_models(raw.get(self.models_word) or []))
        return n

    def engine_models(self, raw) -> list[str]:
        if not isinstance(raw, list) or not all(isinstance(m, str) for m in raw):
            raise BadRequest(f"{self.models_word} must be a list of names", code="bad_field", field=self.models_word)
        return raw

    def format_engine_response(self) -> bytes:
        return b"{}"

    def format_retirement(self, state: str) -> bytes:
        return json.dumps({"state": self.retirement_states[state]}).encode()
