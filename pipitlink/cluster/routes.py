"""Lookup and validation of the configuration of routes and pools."""

from ..wire.cluster_pb2 import Config, Pool, Route

__all__ = ["RouteTable", "KINDS"]

KINDS = ("streaming", "idempotent", "mutating", "bulk")


class RouteTable:
    """The configuration of routes and pools as it is looked up: routes by host and longest prefix, pools by name."""

    def __init__(self, config: Config | None = None):
        config = config or Config()
        self.version = config.version
        self.bounds = config.bounds
        self.routes: dict[str, Route] = {r.name: r for r in config.routes}
        self.pools: dict[str, Pool] = {p.name: p for p in config.pools}
        self._hosts: dict[str, list[Route]] = {}
        for r in sorted(config.routes, key=lambda r: -len(r.prefix)):
            self._hosts.setdefault(r.host, []).append(r)

    def config(self) -> Config:
        return Config(version=self.version, routes=self.routes.values(), pools=self.pools.values(), bounds=self.bounds)

    def match(self, host: str, path: str) -> Route | None:
        """The route of this host whose prefix is the longest that begins the path; None where there is none."""
        return next((r for r in self._hosts.get(host, ()) if path.startswith(r.prefix)), None)

    def edited(self, e) -> "RouteTable":
        """The table after one edit, which must have been checked against this one."""
        out = Config(version=e.version)
        out.bounds.CopyFrom(e.bounds if e.HasField("bounds") else self.bounds)
        for kept, puts, drops, goal in (
            (self.routes, e.routes, e.removed_routes, out.routes),
            (self.pools, e.pools, e.removed_pools, out.pools),
        ):
            rest = {} if e.replace_all else {n: r for n, r in kept.items() if n not in drops}
            rest.update((r.name, r) for r in puts)
            goal.extend(rest.values())
        return RouteTable(out)

    def problems(self) -> list[dict]:
        """What is wrong with this table, a line for each: nothing where it may be put in force."""
        out = []

        def wrong(row, field, text):
            out.append({"row": row, "field": field, "message": text})

        places: dict[tuple[str, str], str] = {}
        for r in self.routes.values():
            if r.kind not in KINDS:
                wrong(r.name, "kind", f"must be one of {', '.join(KINDS)}")
            if not r.host or not r.prefix.startswith("/") or not r.prefix.endswith("/"):
                wrong(r.name, "prefix", "must have a host, and a prefix that begins and ends with a slash")
            if places.setdefault((r.host, r.prefix), r.name) != r.name:
                wrong(r.name, "prefix", f"route {places[r.host, r.prefix]} has the same host and prefix")
            if not r.deadline_ms:
                wrong(r.name, "deadline_ms", "must be above 0")
            if not sum(s.share for s in r.shares) > 0 or any(not s.share >= 0 for s in r.shares):
                wrong(r.name, "shares", "must add up to more than 0, and none may be below 0")
            for s in r.shares:
                if s.pool not in self.pools:
                    wrong(r.name, "shares", f"pool {s.pool} is not known")
        return out
