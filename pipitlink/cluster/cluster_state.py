"""The replicated state machine to which committed commands are applied."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from hashlib import blake2b

from google.protobuf.message import Message

from ..replicated_log.placement_group import PlacementGroup
from ..wire.cluster_pb2 import (
    ClusterStateData,
    Command,
    ConfigEdit,
    Controllers,
    Outcome,
    Placement,
    PlacementGroupRow,
    Row,
    StorageNodeEdit,
    TableEdit,
    ZoneEdit,
)
from .routes import RouteTable

__all__ = ["MAX_ROWS", "ClusterState", "OutcomeCode"]

MAX_OUTCOMES = 2000
MAX_ROWS = 100_000
CONTENT_DIGEST_BYTES = 12


class OutcomeCode(StrEnum):
    """The outcome of a command. The values are used on the wire and in stored outcomes."""

    DONE = "done"
    FENCED = "late"
    EDIT_ID_USED = "edit_id_used"
    WRONG_BASE = "wrong_base"
    OLD_VERSION = "old_version"
    INVALID = "invalid"
    TOO_MANY_ROWS = "too_many_rows"
    NO_SUCH_ROW = "no_such_row"


def _content_digest(command: Command) -> bytes:
    """Returns a digest of an edit's content, which leaves out its id and its fencing token."""
    kind = command.WhichOneof("of") or ""
    content = getattr(command, kind) if kind else ""
    body = content.SerializeToString(deterministic=True) if isinstance(content, Message) else str(content).encode()
    return blake2b(body, digest_size=CONTENT_DIGEST_BYTES, person=kind.encode()).digest()


class ClusterState:
    """The weight table, routes, zones, storage nodes, placement groups and voters, as set by the committed commands.

    The state machine is deterministic: the same commands in the same order give the same state on every node.
    `table_sequence`, `config_changed_at`, `zones_changed_at`, `storage_nodes_changed_at` and `witnesses_changed_at` are
    the sequence numbers of the last change of each part. `confirmed_witness_change` is the last change of the witness
    set that more than half of the witnesses have applied.
    """

    def __init__(self, data: ClusterStateData | None = None) -> None:
        data = data or ClusterStateData()
        self.sequence = data.sequence
        self.table_sequence = data.table_sequence
        self.rows: dict[str, Row] = {row.name: row for row in data.rows}
        self.routes = RouteTable(data.config)
        self.empty_zones: set[str] = set(data.empty_zones)
        self.storage_nodes: dict[str, str] = {edit.storage_node: edit.status for edit in data.storage_nodes}
        self.storage_node_names: dict[str, str] = {
            edit.storage_node: edit.name for edit in data.storage_nodes if edit.name
        }
        self.placement_groups: dict[int, PlacementGroupRow] = {group.number: group for group in data.placement_groups}
        self.voters: tuple[str, ...] = tuple(data.voters)
        self.witnesses_changed_at = data.witnesses_changed_at
        self.confirmed_witness_change = data.confirmed_witness_change
        self.config_changed_at = data.config_changed_at
        self.zones_changed_at = data.zones_changed_at
        self.storage_nodes_changed_at = data.storage_nodes_changed_at
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict(
            (outcome.edit, outcome) for outcome in data.outcomes if outcome.code == OutcomeCode.DONE
        )
        self._rows_by_target: dict[tuple[str, str], Row] | None = None

    def data(self) -> ClusterStateData:
        """Returns the whole state as a message that the constructor accepts."""
        return ClusterStateData(
            sequence=self.sequence,
            table_sequence=self.table_sequence,
            rows=self.rows.values(),
            empty_zones=sorted(self.empty_zones),
            placement_groups=self.placement_groups.values(),
            voters=self.voters,
            witnesses_changed_at=self.witnesses_changed_at,
            confirmed_witness_change=self.confirmed_witness_change,
            storage_nodes=[
                StorageNodeEdit(storage_node=node, status=status, name=self.storage_node_names.get(node))
                for node, status in self.storage_nodes.items()
            ],
            outcomes=self.outcomes.values(),
            config=self.routes.config(),
            config_changed_at=self.config_changed_at,
            zones_changed_at=self.zones_changed_at,
            storage_nodes_changed_at=self.storage_nodes_changed_at,
        )

    def recorded_outcome(self, command: Command) -> Outcome | None:
        """Returns the recorded outcome of this edit, or None if it has not taken effect yet.

        If the id was already used for an edit with different content, the outcome is `edit_id_used`.
        """
        outcome = self.outcomes.get(command.edit) if command.edit else None
        if outcome is None or outcome.content in (b"", _content_digest(command)):
            return outcome
        return Outcome(edit=command.edit, code=OutcomeCode.EDIT_ID_USED, sequence=self.sequence)

    def apply(self, sequence: int, command: Command) -> Outcome:
        """Applies the committed command with this sequence number and returns its outcome.

        An edit id takes effect at most once. Only edits that took effect are recorded, so that a rejected edit is
        evaluated again when it is retried.
        """
        self.sequence = sequence
        recorded = self.recorded_outcome(command)
        if recorded is not None:
            return recorded
        kind = command.WhichOneof("of")
        if self._is_fenced(command, kind):
            return Outcome(edit=command.edit, code=OutcomeCode.FENCED, sequence=sequence)
        code = self._apply_kind(kind, command, sequence)
        outcome = Outcome(edit=command.edit, code=code, sequence=self._version_of(kind, sequence))
        if command.edit and code == OutcomeCode.DONE:
            self._record_outcome(outcome, command, kind or "")
        return outcome

    def placement_group(self, number: int) -> PlacementGroup:
        """Returns a placement group, without storage nodes if it has not been placed yet."""
        group = self.placement_groups.get(number)
        if group is None:
            return PlacementGroup(number, 0, ())
        return PlacementGroup(number, group.sequence, tuple(group.storage_nodes), group.joining, group.leaving)

    def row(self, model: str, pool: str) -> Row | None:
        """Returns the most specific row: for the model in the pool, then for the model, then for the pool, or None."""
        if self._rows_by_target is None:
            self._rows_by_target = {(row.model, row.pool): row for row in self.rows.values()}
        rows = self._rows_by_target
        return rows.get((model, pool)) or rows.get((model, "")) or rows.get(("", pool))

    def witnesses(self) -> list[str]:
        """Returns, sorted, the storage nodes that a gateway polls to prove that its state is the newest."""
        return sorted(node for node, status in self.storage_nodes.items() if status != "retired")

    def _is_fenced(self, command: Command, kind: str | None) -> bool:
        """Whether the part that the command edits has changed since the operator's request arrived."""
        if not command.HasField("fencing_token"):
            return False
        changed_at = {
            "config": self.config_changed_at,
            "table": self.table_sequence,
            "zone": self.zones_changed_at,
            "storage_node": self.storage_nodes_changed_at,
        }
        return command.fencing_token < changed_at.get(kind or "", 0)

    def _version_of(self, kind: str | None, sequence: int) -> int:
        """The version reported in an outcome: the version of the edited table or configuration, else the sequence."""
        if kind == "table":
            return self.table_sequence
        if kind == "config":
            return self.routes.version
        return sequence

    def _record_outcome(self, outcome: Outcome, command: Command, kind: str) -> None:
        """Records an outcome and evicts the oldest ones, but always keeps the last outcome of each kind of edit."""
        outcome.kind = kind
        outcome.content = _content_digest(command)
        self.outcomes[command.edit] = outcome
        while len(self.outcomes) > MAX_OUTCOMES:
            oldest = next(iter(self.outcomes.values()))
            if self._has_other_outcome(oldest):
                del self.outcomes[oldest.edit]
            else:
                self.outcomes.move_to_end(oldest.edit)

    def _has_other_outcome(self, outcome: Outcome) -> bool:
        return any(other.kind == outcome.kind for other in self.outcomes.values() if other is not outcome)

    def _apply_kind(self, kind: str | None, command: Command, sequence: int) -> OutcomeCode:
        match kind:
            case "config":
                return self._apply_config(command.config, sequence)
            case "table":
                return self._apply_table(command.table, sequence)
            case "zone":
                return self._apply_zone(command.zone, sequence)
            case "storage_node":
                return self._apply_storage_node(command.storage_node, sequence)
            case "placement":
                return self._apply_placement(command.placement)
            case "controllers":
                return self._apply_controllers(command.controllers)
            case "witness_change":
                self.confirmed_witness_change = command.witness_change
        return OutcomeCode.DONE

    def _apply_table(self, edit: TableEdit, sequence: int) -> OutcomeCode:
        if edit.base != self.table_sequence:
            return OutcomeCode.WRONG_BASE
        remaining = 0 if edit.replace_all else len(self.rows)
        if remaining + len(edit.upserts) > MAX_ROWS:
            return OutcomeCode.TOO_MANY_ROWS
        if any(name not in self.rows for name in edit.removed_rows):
            return OutcomeCode.NO_SUCH_ROW
        if edit.replace_all:
            self.rows = {}
        for name in edit.removed_rows:
            self.rows.pop(name, None)
        for row in edit.upserts:
            self.rows[row.name] = row
        self.table_sequence = sequence
        self._rows_by_target = None
        return OutcomeCode.DONE

    def _apply_config(self, edit: ConfigEdit, sequence: int) -> OutcomeCode:
        if edit.base != self.routes.version:
            return OutcomeCode.WRONG_BASE
        if edit.version <= self.routes.version:
            return OutcomeCode.OLD_VERSION
        routes = self.routes.with_edit(edit)
        if routes.validation_problems():
            return OutcomeCode.INVALID
        self.routes = routes
        self.config_changed_at = sequence
        return OutcomeCode.DONE

    def _apply_zone(self, edit: ZoneEdit, sequence: int) -> OutcomeCode:
        self.zones_changed_at = sequence
        if edit.empty:
            self.empty_zones.add(edit.zone)
        else:
            self.empty_zones.discard(edit.zone)
        return OutcomeCode.DONE

    def _apply_storage_node(self, edit: StorageNodeEdit, sequence: int) -> OutcomeCode:
        before = self.witnesses()
        self.storage_nodes_changed_at = sequence
        if edit.status == "removed":
            self.storage_nodes.pop(edit.storage_node, None)
            self.storage_node_names.pop(edit.storage_node, None)
        else:
            self.storage_nodes[edit.storage_node] = edit.status
            if edit.name:
                self.storage_node_names[edit.storage_node] = edit.name
        if self.witnesses() != before:
            self.witnesses_changed_at = sequence
        return OutcomeCode.DONE

    def _apply_placement(self, placement: Placement) -> OutcomeCode:
        for group in placement.placement_groups:
            current = self.placement_groups.get(group.number)
            if current is not None and group.sequence != current.sequence + 1:
                return OutcomeCode.WRONG_BASE
        for group in placement.placement_groups:
            self.placement_groups[group.number] = group
        return OutcomeCode.DONE

    def _apply_controllers(self, controllers: Controllers) -> OutcomeCode:
        self.voters = tuple(controllers.voters)
        return OutcomeCode.DONE
