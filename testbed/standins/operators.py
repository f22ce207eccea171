"""Operators of a cluster, which edit its table of models, drain zones, and read both back."""

import threading
import time

__all__ = ["OperatorWorkload"]


class OperatorWorkload:
    """Mixin for operators that base each edit on the table they read, and retry edits until their outcome is known."""

    def _init_operators(self):
        self._unknown: list[tuple] = []
        self._unknown_lock = threading.Lock()

    def edit(self, name: str, row: dict | None, edit_id: str, controller: str, whole=None, limit=12):
        """Reads the table and edits it: puts a row, drops a row, or replaces all rows.

        `whole` is a function from the rows that were read to the new ones; without it, only the row `name` is edited.
        """
        base, rows = self.read_table(controller)
        if base is None:
            return self.note("table_unread", controller=controller)
        if whole is not None:
            whole = whole(rows)
            request = ("PUT", "/v1/table", {"rows": whole})
        else:
            request = ("PUT" if row is not None else "DELETE", f"/v1/table/rows/{name}", row)
        response = self._send_edit(controller, request, base, edit_id, name, row, whole, limit)
        if response["outcome"] == "unknown":
            with self._unknown_lock:
                self._unknown.append((request, base, edit_id, name, row, whole))
        return response

    def read_table(self, controller: str) -> tuple[int | None, dict]:
        asked = time.monotonic()
        status, said, _ = self.cluster.call(controller, "GET", "/v1/table", limit=8)
        self.note("table_asked", controller=controller, status=status, asked=asked)
        if status != 200:
            return None, {}
        self.note("table_read", sequence=said["sequence"], rows=said["rows"], asked=asked, controller=controller)
        return said["sequence"], said["rows"]

    def _send_edit(self, controller, request, base, edit_id, name, row, whole, limit):
        asked = time.monotonic()
        status, said, heads = self.cluster.call(
            controller, *request, {"If-Match": str(base), "Edit-Id": edit_id}, limit=limit
        )
        bad = said.get("error") if isinstance(said, dict) else None
        outcome = None if status == 200 else bad["outcome"] if bad else "unknown"
        return self.note(
            "edit",
            row=name,
            value=row,
            whole=whole,
            edit=edit_id,
            status=status,
            base=base,
            asked=asked,
            took=time.monotonic() - asked,
            controller=controller,
            outcome=outcome,
            retry=heads.get("Retry-After"),
            sequence=said.get("sequence") if status == 200 else None,
            code=bad["code"] if bad else None,
        )

    def resolve_unknown_edits(self, controller: str):
        """Retries each edit of unknown outcome with its edit ID; twice, since a known outcome must not change."""
        with self._unknown_lock:
            waiting, self._unknown = self._unknown, []
        for one in waiting:
            request, base, edit_id, name, row, whole = one
            response = [self._send_edit(controller, request, base, edit_id, name, row, whole, 12) for _ in range(2)]
            if any(t["outcome"] == "unknown" for t in response):
                with self._unknown_lock:
                    self._unknown.append(one)

    def unresolved_edits(self) -> int:
        return len(self._unknown)

    def zone(self, zone: str, empty: bool, controller: str) -> int:
        """Drains a zone or ends its drain, then reads back the flags of all zones; returns the status of the change.

        Gateways send no new work to engines in a zone whose flag `empty` is set.
        """
        asked = time.monotonic()
        self.note("zone_asked", zone=zone, empty=empty)
        status = self.cluster.call(controller, "PUT", f"/v1/zones/{zone}", {"empty": empty}, limit=12)[0]
        self.note("zone_edit", zone=zone, empty=empty, status=status, asked=asked)
        asked = time.monotonic()
        read, said, _ = self.cluster.call(controller, "GET", "/v1/zones", limit=8)
        if read == 200:
            self.note("zones_read", zones={z: v["empty"] for z, v in said["zones"].items()}, asked=asked)
        return status

    def gate(self, model: str, open_: bool, controller: str):
        """Allows or stops requests for a model by its row's weight, an edit whose effect engines and clients see."""
        asked = self.note("gate_asked", model=model, open=open_)["at"]
        response = self.edit(
            f"gate-{model}", {"model": model, "weight": int(open_)}, f"gate-{model}-{open_}-{asked}", controller
        )
        self.note("gate", model=model, open=open_, asked=asked, done=response.get("status") == 200)
