"""The operators' HTTP API for the weight table, zones and storage nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.web.server import Request

from ..cluster import ClusterState, OutcomeCode
from ..context import Context
from ..errors import ApiError, BadRequest, NotFound, VersionConflict
from ..json_api import http_handler, send_json
from ..wire.cluster_pb2 import Command, TableEdit, ZoneEdit
from .edit_fencing import EditFencing
from .edit_requests import edit_base, edit_id, read_json_object
from .edit_submission import EditSubmission
from .table_rows import parse_row, parse_rows, row_to_json

__all__ = ["TableApi"]


def _sequence_header(sequence: int) -> dict[str, str]:
    return {"ETag": f'"{sequence}"'}


class TableApi:
    """HTTP handlers for the weight table, zones and storage nodes, the same at every controller."""

    def __init__(self, ctx: Context, submission: EditSubmission, edit_fencing: EditFencing) -> None:
        self._ctx = ctx
        self._submission = submission
        self._edit_fencing = edit_fencing

    def add_routes(self, add: Callable[..., Any]) -> None:
        """Registers the handlers with a klein app's route decorator."""
        add("/v1/table", methods=["GET"])(self.show_table)
        add("/v1/table", methods=["PUT"])(self.put_table)
        add("/v1/table/rows/<name>", methods=["GET"])(self.show_row)
        add("/v1/table/rows/<name>", methods=["PUT"])(self.put_row)
        add("/v1/table/rows/<name>", methods=["DELETE"])(self.delete_row)
        add("/v1/zones", methods=["GET"])(self.show_zones)
        add("/v1/zones/<zone>", methods=["PUT"])(self.put_zone)
        add("/v1/storage_nodes", methods=["GET"])(self.show_storage_nodes)

    async def _submit(self, request: Request, command: Command) -> bytes:
        """Submits an edit and returns the response's body. Raises VersionConflict, NotFound or another ApiError."""
        outcome = await self._edit_fencing.submit(command)
        if outcome.code == OutcomeCode.WRONG_BASE:
            raise VersionConflict(outcome.sequence)
        if outcome.code == OutcomeCode.NO_SUCH_ROW:
            raise NotFound("there is no such row", code=outcome.code, field="row")
        if outcome.code != OutcomeCode.DONE:
            raise ApiError(f"the edit was rejected: {outcome.code}", code=outcome.code, status=422, outcome="not_run")
        body = {"sequence": outcome.sequence, "edit": command.edit}
        return send_json(request, body, 200, _sequence_header(outcome.sequence))

    @http_handler
    async def show_table(self, request: Request) -> bytes:
        """Responds with all rows and the table's sequence."""
        cluster_state = await self._submission.newest_cluster_state()
        rows = {name: row_to_json(row) for name, row in sorted(cluster_state.rows.items())}
        body = {"sequence": cluster_state.table_sequence, "rows": rows}
        return send_json(request, body, 200, _sequence_header(cluster_state.table_sequence))

    @http_handler
    async def put_table(self, request: Request) -> bytes:
        """Replaces all rows."""
        raw = read_json_object(request)
        if set(raw) - {"rows", "sequence"} or not isinstance(raw.get("rows"), dict):
            raise BadRequest('the body must be {"rows": {name: row}}', code="bad_field", field="rows")
        edit = TableEdit(base=edit_base(request), replace_all=True, upserts=parse_rows(raw["rows"]))
        return await self._submit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def show_row(self, request: Request, name: str) -> bytes:
        """Responds with one row and the table's sequence."""
        cluster_state = await self._submission.newest_cluster_state()
        if name not in cluster_state.rows:
            raise NotFound("there is no such row", code="no_such_row", field="row")
        body = {"sequence": cluster_state.table_sequence, "row": row_to_json(cluster_state.rows[name])}
        return send_json(request, body, 200, _sequence_header(cluster_state.table_sequence))

    @http_handler
    async def put_row(self, request: Request, name: str) -> bytes:
        """Adds or replaces one row."""
        edit = TableEdit(base=edit_base(request), upserts=[parse_row(name, read_json_object(request))])
        return await self._submit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def delete_row(self, request: Request, name: str) -> bytes:
        """Removes one row."""
        edit = TableEdit(base=edit_base(request), removed_rows=[name])
        return await self._submit(request, Command(edit=edit_id(request), table=edit))

    @http_handler
    async def put_zone(self, request: Request, zone: str) -> bytes:
        """Marks a zone as empty, so that it gets no work, or as usable again."""
        empty = read_json_object(request).get("empty")
        if not isinstance(empty, bool):
            raise BadRequest("empty must be true or false", code="bad_field", field="empty")
        edit = ZoneEdit(zone=zone, empty=empty)
        return await self._submit(request, Command(edit=edit_id(request), zone=edit))

    @http_handler
    async def show_zones(self, request: Request) -> bytes:
        """Responds with the zones of all members, and the zones marked as empty."""
        cluster_state = await self._submission.newest_cluster_state()
        zones = sorted({member.zone for member in self._ctx.membership.all_members()} | cluster_state.empty_zones)
        return send_json(request, {"zones": {zone: {"empty": zone in cluster_state.empty_zones} for zone in zones}})

    @http_handler
    async def show_storage_nodes(self, request: Request) -> bytes:
        """Responds with the storage nodes in the cluster state and their status in the membership."""
        cluster_state = await self._submission.newest_cluster_state()
        shown = {
            node: self._storage_node_to_json(cluster_state, node, status)
            for node, status in cluster_state.storage_nodes.items()
        }
        return send_json(request, {"storage_nodes": shown})

    def _storage_node_to_json(self, cluster_state: ClusterState, node: str, status: str) -> dict[str, Any]:
        member = self._ctx.membership.find(node)
        placement_groups = sum(
            node in (*group.storage_nodes, group.joining) for group in cluster_state.placement_groups.values()
        )
        return {
            "status": status,
            "name": cluster_state.storage_node_names.get(node, ""),
            "heard": self._ctx.membership.status(node),
            "zone": member.zone if member else "",
            "place": f"{member.host}:{member.port}" if member else "",
            "placement_groups": placement_groups,
        }
