"""Answers to malformed input and to requests that the app did not answer."""

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


def messages(status: int, reached_app: bool) -> tuple[dict[str, Any], ...]:
    """Return the ASGI messages of a refusal.

    Args:
        status: Status of the answer. Unknown statuses become 400.
        reached_app: Whether the app got the request, so that a backend server
            may have received a part of it: the outcome is then `unknown`.

    Returns:
        The start of the answer and its body.
    """
    status = status if status in _REMEDIES else 400
    error, remedy = _REMEDIES[status]
    outcome = "unknown" if reached_app else "not-run"
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
