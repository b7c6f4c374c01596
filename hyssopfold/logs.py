"""Structured logging: one line of key=value pairs for each event."""

import json
import logging
import re
import time

from hyssopfold import log_output

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^" ]*)')
_PLAIN = re.compile(r"[A-Za-z0-9_./:@%+,\-]+\Z")


def quote(value: object) -> str:
    """Return `value` quoted so that no input can forge a field or a line.

    Anything but a plain token is written as a JSON string in ASCII, which
    escapes quotes, newlines and control characters.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _PLAIN.match(text):
        return text
    return json.dumps(text)


def parse_line(line: str) -> dict[str, str]:
    """Return the fields of a line that `KeyValueFormatter` wrote.

    Args:
        line: The line; text before its `time=` is ignored.
    """
    fields = {}
    for name, value in _FIELD.findall(
        line.rstrip()[max(0, line.find("time=")) :]
    ):
        fields[name] = json.loads(value) if value.startswith('"') else value
    return fields


class Event(dict[str, object]):
    """The fields of an event; formatted only when a handler writes the line."""

    def __init__(self, event: str, **fields: object) -> None:
        super().__init__(fields)
        self.event = event

    def __str__(self) -> str:
        pairs = [f"event={quote(self.event)}"]
        pairs += [f"{key}={quote(value)}" for key, value in self.items()]
        return " ".join(pairs)


class KeyValueFormatter(logging.Formatter):
    """Formats each record as one line of key=value pairs.

    Args:
        instance: Name of this process, put on each line.
    """

    # Lines of several instances are compared: local times would not match.
    converter = staticmethod(time.gmtime)

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = quote(instance)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for `record`; times are UTC in ISO 8601."""
        timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        head = (
            f"time={timestamp}.{int(record.msecs):03d}Z"
            f" level={record.levelname.lower()}"
            f" instance={self._instance} logger={record.name}"
        )
        if isinstance(record.msg, Event):
            line = f"{head} {record.msg}"
        else:
            line = f"{head} event=message text={quote(record.getMessage())}"
        if record.exc_info and record.exc_info[1] is not None:
            line += f" error={quote(repr(record.exc_info[1]))}"
        return line


class SamplingFilter(logging.Filter):
    """Passes one in `every` decision events, and all other events."""

    def __init__(self, every: int) -> None:
        super().__init__()
        self._every = max(1, every)
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether `record` is written."""
        msg = record.msg
        if not isinstance(msg, Event) or not msg.event.endswith("-decision"):
            return True
        self._count += 1
        return self._count % self._every == 0


def configure(
    instance: str,
    level: str,
    decision_sample: int,
    lines_per_s: float = log_output.LINES_PER_S,
) -> log_output.BoundedHandler:
    """Send all records to standard output as key=value lines.

    Args:
        instance: Name of this process, put on each line.
        level: Lowest level written.
        decision_sample: Write one in this many decision events.
        lines_per_s: Largest number of lines to write in a second.

    Returns:
        The handler, which counts the lines it drops.
    """
    handler = log_output.to_standard_output(lines_per_s)
    formatter = KeyValueFormatter(instance)
    handler.setFormatter(formatter)
    handler.addFilter(SamplingFilter(decision_sample))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("httpcore", "hpack", "asyncio", "grpclib"):
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler


def set_level(level: str) -> None:
    """Set the lowest level that is written."""
    logging.getLogger().setLevel(level.upper())
