"""Which nodes were down, partitioned or frozen when, by the schedule of faults."""

__all__ = ["Downtimes", "SLACK"]

SLACK = 0.3


class Downtimes:
    """The faults of a run, each from its start until its effects have ended."""

    def __init__(self, events):
        hurt, self._spans = {}, []
        for e in events:
            if e["event"] == "hurt":
                hurt[e["id"]] = e
            elif e["event"] == "healed" and e["id"] in hurt:
                h = hurt.pop(e["id"])
                self._spans.append((h["at"], e["at"] + e["settle"], h))
        self._spans += [(h["at"], float("inf"), h) for h in hurt.values()]

    def _near(self, start, end):
        return [h for a, b, h in self._spans if a <= end and b >= start]

    def hurt(self, start, end, node) -> bool:
        return any(node in h["nodes"] for h in self._near(start, end))

    def unbearable(self, start, end) -> bool:
        """More may be lost than the fleet promises to bear without a pause: the closing fault, for its 12 s."""
        return any(not h["bearable"] for h in self._near(start, end))

    def count(self, start, end) -> int:
        return len(self._near(start, end))
