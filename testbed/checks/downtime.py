"""Which nodes were down, partitioned or frozen when, by the schedule of faults."""

__all__ = ["Downtimes", "SLACK_SECONDS"]

SLACK_SECONDS = 0.3


class Downtimes:
    """The faults of a run, each from its start until its effects have ended."""

    def __init__(self, events):
        open_faults, self._spans = {}, []
        for e in events:
            if e["event"] == "hurt":
                open_faults[e["id"]] = e
            elif e["event"] == "healed" and e["id"] in open_faults:
                h = open_faults.pop(e["id"])
                self._spans.append((h["at"], e["at"] + e["settle"], h))
        self._spans += [(h["at"], float("inf"), h) for h in open_faults.values()]

    def _overlapping(self, start, end):
        return [h for a, b, h in self._spans if a <= end and b >= start]

    def is_affected(self, start, end, node) -> bool:
        return any(node in h["nodes"] for h in self._overlapping(start, end))

    def exceeds_tolerance(self, start, end) -> bool:
        """More may be lost than the fleet promises to bear without a pause: the closing fault, for its 12 s."""
        return any(not h["bearable"] for h in self._overlapping(start, end))

    def count(self, start, end) -> int:
        return len(self._overlapping(start, end))
