"""Changes of a placement group in a simulation."""

from pipitlink.wire.cluster_pb2 import Command, PlacementGroupRow
from pipitlink.wire.cluster_pb2 import Placement as PlacementRow

__all__ = ["start_replacing"]


def start_replacing(simulation, joining: str, leaving: str) -> None:
    """Starts to replace one storage node of placement group 0 by another; both are given by their node ids."""
    leader = simulation.leader()
    group = leader.part.consensus.cluster_state.placement_groups[0]
    row = PlacementGroupRow(
        number=0,
        sequence=group.sequence + 1,
        storage_nodes=group.storage_nodes,
        joining=joining,
        leaving=leaving,
    )
    command = Command(placement=PlacementRow(placement_groups=[row]))
    simulation.do(leader.part.log_replication.propose(command))
