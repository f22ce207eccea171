"""The HTTP interface for configurations, zones, retirements and engine announcements."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Protocol

from klein import Klein
from twisted.web.server import Request

from ..cluster import OutcomeCode
from ..cluster.routes import RouteTable
from ..context import Context
from ..dialect.control import ControlFormat
from ..engine_memory import MAX_ENGINE_NAME_LENGTH
from ..errors import ApiError, BadRequest, NotFound
from ..http_connections import HttpConnections
from ..http_server import HttpServer, Site, listen
from ..json_api import http_handler, send_error, send_json
from ..timers import secs
from ..wire.cluster_pb2 import Command, ConfigEdit, ZoneEdit
from ..wire.membership_pb2 import EngineUpdate
from .edit_fencing import EditFencing, last_contact
from .edit_requests import edit_base, edit_id, read_body
from .edit_submission import EditSubmission
from .engine_announcements import EngineAnnouncements
from .engine_registry import EngineState
from .storage_retirement import StorageRetirement

__all__ = ["ControlApi", "ControlServer", "ControllerServices"]

MAX_BODY_BYTES = 8 * 1024 * 1024
DIGEST_BYTES = 16
MAX_SHOWN_PROBLEMS = 20
CLOSE_TIMEOUT = secs(2)


class ControllerServices(Protocol):
    """The components of a controller that serve operators and engines."""

    submission: EditSubmission
    edit_fencing: EditFencing
    retirement: StorageRetirement
    announcements: EngineAnnouncements


def _send_body(request: Request, body: bytes, headers: dict[bytes, bytes] | None = None) -> bytes:
    request.setHeader(b"Content-Type", b"application/json")
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    return body


def _default_edit_id(request: Request, base: int, body: bytes) -> str:
    """Returns an id derived from the request's content, so that an unchanged retry has the same id anywhere."""
    prefix = b"%b %d " % (request.method, base)
    return "config-" + blake2b(prefix + body, digest_size=DIGEST_BYTES).hexdigest()


def _check_engine_name(name: str) -> None:
    """Raises BadRequest if a name is longer than that of any engine."""
    if len(name) > MAX_ENGINE_NAME_LENGTH:
        raise BadRequest(f"an engine's name must have at most {MAX_ENGINE_NAME_LENGTH} characters", code="bad_field")


def _check_config(edit: ConfigEdit) -> None:
    """Raises BadRequest if a complete configuration is not valid."""
    problems = RouteTable().with_edit(edit).validation_problems()
    if problems:
        shown = problems[:MAX_SHOWN_PROBLEMS]
        text = "; ".join(f"{problem['row']}.{problem['field']}: {problem['message']}" for problem in shown)
        raise BadRequest(text, code="invalid")


class ControlApi:
    """HTTP handlers that edit the configuration, empty zones, retire storage nodes and announce engines.

    The dialect defines their paths and the JSON formats of their bodies.
    """

    def __init__(self, ctx: Context, services: ControllerServices, dialect: ControlFormat) -> None:
        self._ctx = ctx
        self._services = services
        self._dialect = dialect

    def add_routes(self, add: Callable[..., Any]) -> None:
        """Registers the handlers under the dialect's paths with a klein app's route decorator."""
        for method, path, action in self._dialect.control_paths:
            add(path, methods=[method], endpoint=f"control_{action}")(getattr(self, action))

    @http_handler
    async def show_config(self, request: Request) -> bytes:
        """Responds with the whole configuration and its version."""
        table = (await self._services.submission.newest_cluster_state()).routes
        return _send_body(request, self._dialect.format_config(table.config()), {b"ETag": b'"%d"' % table.version})

    @http_handler
    async def put_config(self, request: Request) -> bytes:
        """Replaces the configuration."""
        return await self._edit_config(request, replace=True)

    @http_handler
    async def patch_config(self, request: Request) -> bytes:
        """Adds, replaces and removes individual routes and pools."""
        return await self._edit_config(request, replace=False)

    async def _edit_config(self, request: Request, replace: bool) -> bytes:
        base = edit_base(request)
        body = read_body(request)
        edit = self._dialect.parse_config_edit(body, base, replace)
        if replace:
            _check_config(edit)
        command = Command(edit=edit_id(request, _default_edit_id(request, base, body)), config=edit)
        outcome = await self._services.edit_fencing.submit(command)
        if outcome.code == OutcomeCode.WRONG_BASE:
            raise ApiError(
                f"the configuration is at version {outcome.sequence}",
                code=outcome.code,
                status=412,
                outcome="not_run",
            )
        if outcome.code != OutcomeCode.DONE:
            raise BadRequest(f"the edit was rejected: {outcome.code}", code=outcome.code)
        response = {"version": outcome.sequence, "edit": command.edit}
        return send_json(request, response, 200, {"ETag": f'"{outcome.sequence}"'})

    @http_handler
    async def empty_zone(self, request: Request, zone: str) -> bytes:
        """Marks a zone as empty, so that it gets no work."""
        return await self._edit_zone(request, zone, empty=True)

    @http_handler
    async def fill_zone(self, request: Request, zone: str) -> bytes:
        """Marks a zone as usable again."""
        return await self._edit_zone(request, zone, empty=False)

    async def _edit_zone(self, request: Request, zone: str, empty: bool) -> bytes:
        command = Command(edit=edit_id(request), zone=ZoneEdit(zone=zone, empty=empty))
        outcome = await self._services.edit_fencing.submit(command, last_contact(request))
        if outcome.code != OutcomeCode.DONE:
            raise ApiError(f"the edit was rejected: {outcome.code}", code=outcome.code, status=422, outcome="not_run")
        return send_json(request, {"sequence": outcome.sequence, "edit": command.edit})

    @http_handler
    async def put_engine(self, request: Request, engine: str) -> bytes:
        """Handles an engine's announcement."""
        _check_engine_name(engine)
        await self._services.announcements.announce(self._dialect.parse_engine_update(engine, read_body(request)))
        return _send_body(request, self._dialect.format_engine_response())

    @http_handler
    async def drop_engine(self, request: Request, engine: str) -> bytes:
        """Handles an engine's announcement that it is gone."""
        _check_engine_name(engine)
        update = EngineUpdate(engine=engine, incarnation=1, state=EngineState.GONE)
        await self._services.announcements.announce(update)
        return _send_body(request, self._dialect.format_engine_response())

    @http_handler
    async def retire(self, request: Request, storage_node: str) -> bytes:
        """Starts the retirement of a storage node."""
        edit = edit_id(request)
        sequence = await self._services.retirement.retire(storage_node, edit)
        return send_json(request, {"sequence": sequence, "edit": edit}, 200, {"ETag": f'"{sequence}"'})

    @http_handler
    async def show_retirement(self, request: Request, storage_node: str) -> bytes:
        """Responds with whether a storage node is retired."""
        status = await self._services.retirement.status(storage_node)
        return _send_body(request, self._dialect.format_retirement(status))


class ControlServer:
    """The controller's HTTP server for operators and engines, in the process's dialect."""

    def __init__(self, ctx: Context, services: ControllerServices) -> None:
        self._ctx = ctx
        self._services = services
        self._api = ControlApi(ctx, services, ctx.dialect)
        self._server: HttpServer | None = None

    async def listen(self, host: str, port: int) -> int:
        """Listens on the address and returns the bound port. Raises CannotListenError."""
        self._server = await listen(self._ctx, self.build_site(), host, port)
        return self._server.port

    def build_site(self) -> Site:
        """Returns the site that it serves."""
        app = Klein()
        self._api.add_routes(app.route)
        app.route("/", defaults={"path": ""})(self._not_found)
        app.route("/<path:path>")(self._not_found)
        site = Site(app.resource(), MAX_BODY_BYTES, HttpConnections(self._ctx.client_memory))
        site.connections.observe_contact = self._services.edit_fencing.contact
        return site

    async def close(self) -> None:
        """Stops listening, and closes connections once the requests in progress have their responses."""
        if self._server is not None:
            await self._server.close(CLOSE_TIMEOUT)

    def _not_found(self, request: Request, path: str) -> bytes:
        return send_error(request, NotFound(f"nothing is at /{path}", code="no_such_path"))
