"""The deterministic state that the controllers' agreed commands are applied to."""

from collections import OrderedDict
from hashlib import blake2b

from google.protobuf.message import Message

from ..replicated_log.placement_group import PlacementGroup
from ..wire.cluster_pb2 import ClusterStateData, Command, Outcome, PlacementGroupRow, Row, StorageNodeEdit
from .routes import RouteTable

__all__ = ["ClusterState", "MAX_ROWS"]

MAX_OUTCOMES = 2000
MAX_ROWS = 100_000
CONTENT_SIZE = 12


def _content(c: Command) -> bytes:
    """A digest of what an edit asks for, whatever its id and its fence."""
    kind = c.WhichOneof("of")
    what = getattr(c, kind) if kind else ""
    body = what.SerializeToString(deterministic=True) if isinstance(what, Message) else str(what).encode()
    return blake2b(body, digest_size=CONTENT_SIZE, person=(kind or "").encode()).digest()


class ClusterState:
    """The cluster state: the weight table, routes, zones, storage nodes, placement groups and voters, as the agreed
    commands make it.
    """

    def __init__(self, data: ClusterStateData | None = None):
        data = data or ClusterStateData()
        self.sequence = data.sequence
        self.table = data.table
        self.rows: dict[str, Row] = {r.name: r for r in data.rows}
        self.routes = RouteTable(data.config)
        self.empty_zones: set[str] = set(data.empty_zones)
        self.storage_nodes: dict[str, str] = {d.storage_node: d.status for d in data.storage_nodes}
        self.storage_node_names: dict[str, str] = {d.storage_node: d.name for d in data.storage_nodes if d.name}
        self.placement_groups: dict[int, PlacementGroupRow] = {s.number: s for s in data.placement_groups}
        self.voters: tuple[str, ...] = tuple(data.voters)
        self.witnesses_changed_at = data.witnesses_changed_at
        self.settled = data.settled
        self.config_changed_at = data.config_changed_at
        self.zones_changed_at = data.zones_changed_at
        self.storage_nodes_changed_at = data.storage_nodes_changed_at
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict((o.edit, o) for o in data.outcomes if o.code == "done")
        self._by_target: dict[tuple[str, str], Row] | None = None

    def data(self) -> ClusterStateData:
        return ClusterStateData(
            sequence=self.sequence,
            table=self.table,
            rows=self.rows.values(),
            empty_zones=sorted(self.empty_zones),
            placement_groups=self.placement_groups.values(),
            voters=self.voters,
            witnesses_changed_at=self.witnesses_changed_at,
            settled=self.settled,
            storage_nodes=[
                StorageNodeEdit(storage_node=d, status=s, name=self.storage_node_names.get(d))
                for d, s in self.storage_nodes.items()
            ],
            outcomes=self.outcomes.values(),
            config=self.routes.config(),
            config_changed_at=self.config_changed_at,
            zones_changed_at=self.zones_changed_at,
            storage_nodes_changed_at=self.storage_nodes_changed_at,
        )

    def known(self, c: Command) -> Outcome | None:
        """What became of this edit, where it was taken before; the same id with another content is refused."""
        out = self.outcomes.get(c.edit) if c.edit else None
        if out is None or out.content in (b"", _content(c)):
            return out
        return Outcome(edit=c.edit, code="edit_id_used", sequence=self.sequence)

    def apply(self, sequence: int, c: Command) -> Outcome:
        """Applies one agreed command. The same edit id never takes effect twice; only what took effect is remembered,
        so that an edit that was refused is judged anew when it is sent again.
        """
        self.sequence = sequence
        known = self.known(c)
        if known is not None:
            return known
        what = c.WhichOneof("of")
        if self._late(c, what):
            return Outcome(edit=c.edit, code="late", sequence=sequence)
        code = getattr(self, "_apply_" + what)(getattr(c, what), sequence) if what else "done"
        at = {"table": self.table, "config": self.routes.version}.get(what, sequence)
        out = Outcome(edit=c.edit, code=code, sequence=at)
        if c.edit and code == "done":
            self._remember(out, c, what)
        return out

    def _late(self, c: Command, what: str | None) -> bool:
        """Whether what the command changes was changed after the command's order had arrived."""
        changed_at = {
            "config": self.config_changed_at,
            "table": self.table,
            "zone": self.zones_changed_at,
            "storage_node": self.storage_nodes_changed_at,
        }
        return c.HasField("fence") and c.fencing_token < changed_at.get(what, 0)

    def _remember(self, out: Outcome, c: Command, what: str):
        """Keeps the newest outcomes, and of each kind of edit the last one for as long as its effect stands."""
        out.kind, out.content = what, _content(c)
        self.outcomes[c.edit] = out
        while len(self.outcomes) > MAX_OUTCOMES:
            oldest = next(iter(self.outcomes.values()))
            if any(o.kind == oldest.kind for o in self.outcomes.values() if o is not oldest):
                del self.outcomes[oldest.edit]
            else:
                self.outcomes.move_to_end(oldest.edit)

    def _apply_table(self, e, sequence) -> str:
        if e.base != self.table:
            return "wrong_base"
        kept = 0 if e.replace_all else len(self.rows)
        if kept + len(e.puts) > MAX_ROWS:
            return "too_many_rows"
        if any(d not in self.rows for d in e.drops):
            return "no_such_row"
        if e.replace_all:
            self.rows = {}
        for d in e.drops:
            self.rows.pop(d, None)
        for r in e.puts:
            self.rows[r.name] = r
        self.table = sequence
        self._by_target = None
        return "done"

    def _apply_config(self, e, sequence) -> str:
        if e.base != self.routes.version:
            return "wrong_base"
        if e.version <= self.routes.version:
            return "old_version"
        edited = self.routes.with_edit(e)
        if edited.validation_faults():
            return "invalid"
        self.routes = edited
        self.config_changed_at = sequence
        return "done"

    def _apply_zone(self, e, sequence) -> str:
        self.zones_changed_at = sequence
        (self.empty_zones.add if e.empty else self.empty_zones.discard)(e.zone)
        return "done"

    def _apply_storage_node(self, e, sequence) -> str:
        before = self.witnesses()
        self.storage_nodes_changed_at = sequence
        if e.status == "removed":
            self.storage_nodes.pop(e.storage_node, None)
            self.storage_node_names.pop(e.storage_node, None)
        else:
            self.storage_nodes[e.storage_node] = e.status
            if e.name:
                self.storage_node_names[e.storage_node] = e.name
        if self.witnesses() != before:
            self.witnesses_changed_at = sequence
        return "done"

    def _apply_settled(self, at, sequence) -> str:
        self.settled = at
        return "done"

    def _apply_placement(self, e, sequence) -> str:
        for s in e.placement_groups:
            have = self.placement_groups.get(s.number)
            if have is not None and s.sequence != have.sequence + 1:
                return "wrong_base"
        for s in e.placement_groups:
            self.placement_groups[s.number] = s
        return "done"

    def _apply_controllers(self, e, sequence) -> str:
        self.voters = tuple(e.voters)
        return "done"

    def _apply_nothing(self, e, sequence) -> str:
        return "done"

    def placement_group(self, n: int) -> PlacementGroup:
        s = self.placement_groups.get(n)
        if s is None:
            return PlacementGroup(n, 0, ())
        return PlacementGroup(n, s.sequence, tuple(s.storage_nodes), s.joining, s.leaving)

    def row(self, model: str, pool: str) -> Row | None:
        if self._by_target is None:
            self._by_target = {(r.model, r.pool): r for r in self.rows.values()}
        t = self._by_target
        return t.get((model, pool)) or t.get((model, "")) or t.get(("", pool))

    def witnesses(self) -> list[str]:
        return sorted(d for d, s in self.storage_nodes.items() if s != "retired")
