"""Answers to what is no request, or got no answer from the app."""

from typing import Any

import msgspec

_REMEDIES = {
    400: ("bad-request", "send well-formed HTTP/1.1"),
    408: ("too-slow", "send the whole request head at once"),
    431: ("head-too-large", "send shorter headers or a shorter target"),
    500: ("internal-error", "look whether it took effect; tell the operators"),
    501: ("not-implemented", "use no transfer coding but chunked"),
    502: ("answer-cut", "look whether it took effect before sending it again"),
}


def messages(status: int, is_known: bool) -> tuple[dict[str, Any], ...]:
    """Return the ASGI messages of a refusal.

    Args:
        status: Its status.
        is_known: Whether the app has had the request, so that a part of it
            may be at a server.
    """
    status = status if status in _REMEDIES else 400
    error, remedy = _REMEDIES[status]
    outcome = "unknown" if is_known else "not-run"
    fields = {"error": error, "outcome": outcome, "remedy": remedy}
    body = msgspec.json.encode(fields)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"hyssop-outcome", outcome.encode()),
    ]
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
    }
    return start, {"type": "http.response.body", "body": body}
