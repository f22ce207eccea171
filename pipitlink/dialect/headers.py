"""Names of request and response headers."""

__all__ = ["HeaderNames"]


class HeaderNames:
    """Lower-case names of the headers on client requests and on calls to engines.

    A platform overrides the class attributes.
    """

    request_id = b"x-request-id"
    deadline_ms = b"x-deadline-ms"
    token_counts = b"x-token-counts"
    prompt_parts = b"x-prompt-parts"
    target = b"x-target-instance"
    urgency = b"x-urgency"
    not_executed = b"x-not-executed"
    seal = b"x-engine-seal"
    event_id = b"last-event-id"
