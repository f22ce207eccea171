"""The HTTP interface for configurations, zones, retirements and engine announcements."""

from hashlib import blake2b

from klein import Klein

from ..cluster.routes import RouteTable
from ..errors import ApiError, BadRequest, NotFound
from ..web import Site, http_handler, listen, send_error, send_json
from ..wire.cluster_pb2 import Command, ZoneEdit
from ..wire.membership_pb2 import EngineUpdate
from .edits import edit_base, edit_id

__all__ = ["Control", "ControlServer"]

MAX_BODY = 8 * 1024 * 1024


def _send(request, body: bytes, headers: dict | None = None) -> bytes:
    request.setHeader(b"Content-Type", b"application/json")
    for k, v in (headers or {}).items():
        request.setHeader(k, v)
    return body


def _digest(request, base: int, body: bytes) -> str:
    """An edit that is sent again unchanged, to any controller, is the same edit."""
    words = b"%b %d " % (request.method, base)
    return "config-" + blake2b(words + body, digest_size=16).hexdigest()


class Control:
    """Configurations, zones, retirements and announcements of engines, at one controller in one set of words."""

    def __init__(self, ctx, controller, words):
        self._ctx = ctx
        self._controller = controller
        self._words = words

    def add_routes(self, add):
        for method, path, action in self._words.control_paths:
            add(path, methods=[method], endpoint=f"control_{action}")(getattr(self, action))

    @http_handler
    async def show_config(self, request):
        table = (await self._controller.newest()).routes
        return _send(request, self._words.format_config(table.config()), {b"ETag": b'"%d"' % table.version})

    @http_handler
    async def put_config(self, request):
        return await self._edit_config(request, whole=True)

    @http_handler
    async def patch_config(self, request):
        return await self._edit_config(request, whole=False)

    async def _edit_config(self, request, whole: bool):
        base = edit_base(request)
        body = request.content.read()
        edit = self._words.parse_config_edit(body, base, whole)
        if whole:
            faults = RouteTable().with_edit(edit).validation_faults()
            if faults:
                raise BadRequest(
                    "; ".join(f"{f['row']}.{f['field']}: {f['message']}" for f in faults[:20]), code="invalid"
                )
        c = Command(edit=edit_id(request, _digest(request, base, body)), config=edit)
        out = await self._controller.order(c)
        if out.code == "wrong_base":
            raise ApiError(
                f"the configuration is at version {out.sequence}", code=out.code, status=412, outcome="not_run"
            )
        if out.code != "done":
            raise BadRequest(f"the edit was refused: {out.code}", code=out.code)
        return send_json(request, {"version": out.sequence, "edit": c.edit}, 200, {"ETag": f'"{out.sequence}"'})

    @http_handler
    async def empty_zone(self, request, zone: str):
        return await self._edit_zone(request, zone, True)

    @http_handler
    async def fill_zone(self, request, zone: str):
        return await self._edit_zone(request, zone, False)

    async def _edit_zone(self, request, zone: str, empty: bool):
        c = Command(edit=edit_id(request), zone=ZoneEdit(zone=zone, empty=empty))
        out = await self._controller.order(c)
        if out.code != "done":
            raise ApiError(f"the edit was refused: {out.code}", code=out.code, status=422, outcome="not_run")
        return send_json(request, {"sequence": out.sequence, "edit": c.edit})

    @http_handler
    async def put_engine(self, request, engine: str):
        await self._controller.announce(self._words.parse_engine_update(engine, request.content.read()))
        return _send(request, self._words.format_engine_response())

    @http_handler
    async def drop_engine(self, request, engine: str):
        await self._controller.announce(EngineUpdate(engine=engine, incarnation=1, state="gone"))
        return _send(request, self._words.format_engine_response())

    @http_handler
    async def retire(self, request, storage_node: str):
        edit = edit_id(request)
        sequence = await self._controller.retire(storage_node, edit)
        return send_json(request, {"sequence": sequence, "edit": edit}, 200, {"ETag": f'"{sequence}"'})

    @http_handler
    async def show_retirement(self, request, storage_node: str):
        return _send(request, self._words.format_retirement(await self._controller.retirement(storage_node)))


class ControlServer:
    """The controller's address for operators and engines, in the words of the dialect."""

    def __init__(self, ctx, controller):
        self._ctx = ctx
        self._control = ControlApi(ctx, controller, ctx.dialect)
        self._port = None

    async def listen(self, host: str, port: int) -> int:
        app = Klein()
        self._control.add_routes(app.route)
        app.route("/", defaults={"path": ""})(self._nowhere)
        app.route("/<path:path>")(self._nowhere)
        self._port, port = await listen(self._ctx.reactor, Site(app.resource(), MAX_BODY), host, port)
        return port

    async def end(self):
        if self._port is not None:
            await self._port.stopListening()

    def _nowhere(self, request, path):
        return send_error(request, NotFound(f"nothing is at /{path}", code="no_such_path"))
