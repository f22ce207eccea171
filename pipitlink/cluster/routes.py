"""Lookup and validation of the configuration of routes and pools."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypedDict

from ..wire.cluster_pb2 import Config, ConfigEdit, Pool, Route

__all__ = ["KINDS", "ConfigProblem", "RouteTable"]

KINDS = ("streaming", "idempotent", "mutating", "bulk")


class ConfigProblem(TypedDict):
    """A validation error in one field of a route, as reported to operators."""

    row: str
    field: str
    message: str


class RouteTable:
    """The configuration of routes and pools, indexed for lookup: routes by host and longest prefix, pools by name."""

    def __init__(self, config: Config | None = None) -> None:
        config = config or Config()
        self.version = config.version
        self.bounds = config.bounds
        self.routes: dict[str, Route] = {route.name: route for route in config.routes}
        self.pools: dict[str, Pool] = {pool.name: pool for pool in config.pools}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=_longest_prefix_first):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def config(self) -> Config:
        """Returns the configuration as a message that the constructor accepts."""
        return Config(version=self.version, routes=self.routes.values(), pools=self.pools.values(), bounds=self.bounds)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching path prefix, or None."""
        return next((route for route in self._routes_by_host.get(host, ()) if path.startswith(route.prefix)), None)

    def with_edit(self, edit: ConfigEdit) -> RouteTable:
        """Returns the table with an edit applied. The caller must have checked the edit's base version."""
        config = Config(version=edit.version)
        config.bounds.CopyFrom(edit.bounds if edit.HasField("bounds") else self.bounds)
        routes: dict[str, Route] = {}
        pools: dict[str, Pool] = {}
        if not edit.replace_all:
            routes = {name: route for name, route in self.routes.items() if name not in edit.removed_routes}
            pools = {name: pool for name, pool in self.pools.items() if name not in edit.removed_pools}
        routes.update((route.name, route) for route in edit.routes)
        pools.update((pool.name, pool) for pool in edit.pools)
        config.routes.extend(routes.values())
        config.pools.extend(pools.values())
        return RouteTable(config)

    def validation_problems(self) -> list[ConfigProblem]:
        """Returns the validation errors of this table; an empty list if it is valid."""
        problems: list[ConfigProblem] = []
        owners: dict[tuple[str, str], str] = {}
        for route in self.routes.values():
            owner = owners.setdefault((route.host, route.prefix), route.name)
            problems.extend(self._route_problems(route, owner))
        return problems

    def _route_problems(self, route: Route, owner: str) -> Iterator[ConfigProblem]:
        """Yields the problems of one route; `owner` is the first route with the same host and prefix."""
        if route.kind not in KINDS:
            yield _problem(route, "kind", f"must be one of {', '.join(KINDS)}")
        if not route.host or not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield _problem(route, "prefix", "must have a host, and a prefix that begins and ends with a slash")
        if owner != route.name:
            yield _problem(route, "prefix", f"route {owner} has the same host and prefix")
        if not route.deadline_ms:
            yield _problem(route, "deadline_ms", "must be above 0")
        if not sum(target.share for target in route.shares) > 0 or any(
            not target.share >= 0 for target in route.shares
        ):
            yield _problem(route, "shares", "must add up to more than 0, and none may be below 0")
        for target in route.shares:
            if target.pool not in self.pools:
                yield _problem(route, "shares", f"pool {target.pool} is not known")


def _problem(route: Route, field: str, message: str) -> ConfigProblem:
    return ConfigProblem(row=route.name, field=field, message=message)


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)
