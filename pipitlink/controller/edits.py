"""The operators' HTTP interface to the weight table, zones and storage nodes."""

import json

from twisted.internet import defer

from ..cluster import ClusterState
from ..context import random_id
from ..errors import (
    ApiError,
    BadRequest,
    ConnectionFailed,
    DeadlineExceeded,
    NotFound,
    NotLeader,
    RemoteError,
    StorageFull,
    Unconfirmed,
    VersionConflict,
    WireError,
)
from ..timers import ms, secs
from ..web import http_handler, send_json
from ..wire.cluster_pb2 import ClusterStateData, Command, Outcome, TableEdit, ZoneEdit
from ..wire.controller_pb2 import EditRequest, EditResponse, ReadTableRequest
from .rows import row_dict, row_from, rows_from

__all__ = ["Edits", "edit_base", "edit_id"]

FORWARD_LIMIT = secs(7)
LOOK_INTERVAL = ms(50)


def edit_base(request) -> int:
    """Returns the sequence that an edit builds on, from the request's If-Match header.

    Raises BadRequest: 428 where there is none, 400 where it is no number from 0 up.
    """
    raw = request.getHeader("If-Match")
    if raw is None:
        raise BadRequest(
            "an edit states the sequence it builds on, in If-Match", code="no_base", field="If-Match", status=428
        )
    try:
        base = int(raw.strip().strip('"'))
    except ValueError:
        base = -1
    if not 0 <= base < 2**63:
        raise BadRequest("If-Match must be the sequence it builds on", code="bad_field", field="If-Match")
    return base


def edit_id(request, otherwise: str = "") -> str:
    """Returns the edit's id from the request's Edit-Id header, else `otherwise`, else a fresh one.

    Raises BadRequest where it has more than 100 characters.
    """
    edit = request.getHeader("Edit-Id") or otherwise or random_id()
    if not 1 <= len(edit) <= 100:
        raise BadRequest("Edit-Id must have 1 to 100 characters", code="bad_field", field="Edit-Id")
    return edit


def _body(request) -> dict:
    try:
        raw = json.loads(request.content.read())
    except (ValueError, RecursionError) as e:
        raise BadRequest(f"the body is not JSON: {e}", code="bad_json") from e
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return raw


class Edits:
    """Mixin: the operators' interface to the cluster state, the same at every controller.

    Offers `newest` and `decide`, here or by way of the leader, the HTTP handlers and their `routes`, and the node's
    `readiness`, `beliefs` and `metrics`.
    Needs of the node: `_ctx`, `call_controller`, `cluster_state`, `commit`, `leader`, `state`; of Gateways: `edit` and
    `_order_limit`; of Orders: `order`; of Leading and Voting: `confirm_leadership`, `in_touch`, `term`.
    Owns no attributes.
    """

    def _open_edits(self):
        self._ctx.rpc.register_handler("controller.edit", EditRequest, self._edit_for)
        self._ctx.rpc.register_handler("controller.read", ReadTableRequest, self._read_for)

    async def _edit_for(self, node, ask: EditRequest) -> EditResponse:
        return EditResponse(outcome=await self.edit(ask.command, self._order_limit()))

    async def _read_for(self, node, _) -> ClusterStateData:
        await self.confirm_leadership()
        return self.cluster_state.data()

    async def newest(self) -> ClusterState:
        """The newest agreed cluster state, proved by the leader, or an error; never an older one."""
        try:
            if self.state == "leader":
                await self.confirm_leadership()
                return self.cluster_state
            return ClusterState(await self._ask_leader("controller.read", ReadTableRequest(), ClusterStateData))
        except (WireError, NotLeader, Unconfirmed) as e:
            raise ApiError(
                f"the newest table cannot be proved now: {e}",
                code="no_leader",
                status=503,
                outcome="failed",
                retry_after=1,
            ) from e

    async def _ask_leader(self, method, what, kind):
        """Passes a call on to the leader, and waits for it no longer than that one leads and is in touch."""
        leader = self.leader
        if not leader or leader == self._ctx.node or not self.in_touch():
            raise NotLeader("no leader is known")
        work = self.call_controller(leader, method, what, kind, FORWARD_LIMIT)
        try:
            return await self._ctx.timers.run_while(
                lambda: self.leader == leader and self.in_touch(), LOOK_INTERVAL, work
            )
        except defer.CancelledError:
            raise Unconfirmed("the leader changed or was lost before it answered") from None

    async def decide(self, c: Command) -> Outcome:
        """The outcome of an edit, here or at the leader; an error says whether it may have been taken."""
        try:
            if self.state == "leader":
                return await self.edit(c, self._order_limit())
            return (await self._ask_leader("controller.edit", EditRequest(command=c), EditResponse)).outcome
        except (DeadlineExceeded, Unconfirmed, ConnectionFailed, RemoteError, NotLeader) as e:
            sent = not (
                isinstance(e, NotLeader)
                or isinstance(e, ConnectionFailed)
                and not e.sent
                or isinstance(e, RemoteError)
                and e.remote_code in ("not_leading", "no_room")
            )
            if isinstance(e, RemoteError) and e.remote_code == "no_room":
                raise StorageFull(e.message, sent=False) from e
            raise ApiError(
                f"{e}; send it again with Edit-Id {c.edit} to learn its outcome"
                if sent
                else f"no controller leads now: {e}",
                code="unproven" if sent else "no_leader",
                status=503,
                outcome="unknown" if sent else "not_run",
                retry_after=1,
            ) from e

    async def _do_edit(self, request, c: Command):
        out = await self.order(c)
        if out.code == "wrong_base":
            raise VersionConflict(out.sequence)
        if out.code == "no_such_row":
            raise NotFound("there is no such row", code=out.code, field="row")
        if out.code != "done":
            raise ApiError(f"the edit was refused: {out.code}", code=out.code, status=422, outcome="not_run")
        return send_json(request, {"sequence": out.sequence, "edit": c.edit}, 200, {"ETag": f'"{out.sequence}"'})

    @http_handler
    async def show_table(self, request):
        s = await self.newest()
        rows = {name: row_dict(r) for name, r in sorted(s.rows.items())}
        return send_json(request, {"sequence": s.table_sequence, "rows": rows}, 200, {"ETag": f'"{s.table_sequence}"'})

    @http_handler
    async def put_table(self, request):
        raw = _body(request)
        if set(raw) - {"rows", "sequence"} or not isinstance(raw.get("rows"), dict):
            raise BadRequest('the body must be {"rows": {name: row}}', code="bad_field", field="rows")
        edit = TableEdit(base=edit_base(request), replace_all=True, upserts=parse_rows(raw["rows"]))
        return await self._do_edit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def show_row(self, request, name: str):
        s = await self.newest()
        if name not in s.rows:
            raise NotFound("there is no such row", code="no_such_row", field="row")
        return send_json(
            request,
            {"sequence": s.table_sequence, "row": row_dict(s.rows[name])},
            200,
            {"ETag": f'"{s.table_sequence}"'},
        )

    @http_handler
    async def put_row(self, request, name: str):
        edit = TableEdit(base=edit_base(request), upserts=[row_from(name, _body(request))])
        return await self._do_edit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def drop_row(self, request, name: str):
        edit = TableEdit(base=edit_base(request), removed_rows=[name])
        return await self._do_edit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def put_zone(self, request, zone: str):
        empty = _body(request).get("empty")
        if not isinstance(empty, bool):
            raise BadRequest("empty must be true or false", code="bad_field", field="empty")
        return await self._do_edit(request, Command(edit=edit_id(request), zone=ZoneEdit(zone=zone, empty=empty)))

    @http_handler
    async def show_zones(self, request):
        s = await self.newest()
        zones = sorted({m.zone for m in self._ctx.membership.all_members()} | s.empty_zones)
        return send_json(request, {"zones": {z: {"empty": z in s.empty_zones} for z in zones}})

    @http_handler
    async def show_storage_nodes(self, request):
        s = await self.newest()
        out = {}
        for d, status in s.storage_nodes.items():
            m = self._ctx.membership.find(d)
            placement_groups = sum(d in tuple(x.storage_nodes) + (x.joining,) for x in s.placement_groups.values())
            out[d] = {
                "status": status,
                "name": s.storage_node_names.get(d, ""),
                "heard": self._ctx.membership.status(d),
                "zone": m.zone if m else "",
                "place": f"{m.host}:{m.port}" if m else "",
                "placement_groups": placement_groups,
            }
        return send_json(request, {"storage_nodes": out})

    def add_routes(self, add):
        add("/v1/table", methods=["GET"])(self.show_table)
        add("/v1/table", methods=["PUT"])(self.put_table)
        add("/v1/table/rows/<name>", methods=["GET"])(self.show_row)
        add("/v1/table/rows/<name>", methods=["PUT"])(self.put_row)
        add("/v1/table/rows/<name>", methods=["DELETE"])(self.drop_row)
        add("/v1/zones", methods=["GET"])(self.show_zones)
        add("/v1/zones/<zone>", methods=["PUT"])(self.put_zone)
        add("/v1/storage_nodes", methods=["GET"])(self.show_storage_nodes)

    def readiness(self):
        return bool(self.leader), {"leader": self.leader, "state": self.state, "term": self.term}

    def beliefs(self) -> dict:
        return {}

    def metrics(self) -> dict:
        return {
            "term": ("The agreement's term", self.term),
            "leading": ("1 where this controller leads", int(self.state == "leader")),
            "agreed": ("The agreed log's index", self.commit),
        }
