"""When nodes were down, partitioned or frozen, according to the recorded faults."""

__all__ = ["Downtimes", "SLACK_SECONDS"]

SLACK_SECONDS = 0.3


class Downtimes:
    """The faults of a run, each with the time span from its start until its effects have settled."""

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
        """Whether a fault was active that the cluster doesn't tolerate without an interruption of service.

        Such are the final fault of a run, for which 12 s are allowed, and full disks of two storage nodes at once.
        """
        return any(not h["bearable"] for h in self._overlapping(start, end))

    def count(self, start, end) -> int:
        return len(self._overlapping(start, end))
