"""Safe, bounded parsing of operators' YAML that lists all faults with lines."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import ipaddress
from typing import Any
from typing import NamedTuple

import yaml

from hyssopfold import errors

# The loader in C, about ten times as fast, where PyYAML was built with it.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
MAX_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 12
_MAX_SHOWN_CHARS = 60
_MAX_PORT_DIGITS = 5


class Field(NamedTuple):
    """One key of a mapping: its converter, default and description.

    `convert` takes a `Reader`, a node and its key path and returns the value;
    it adds faults to the reader instead of raising. `allowed` describes the
    allowed values, for the fault of a missing key.
    """

    name: str
    convert: Callable[["Reader", yaml.Node, str], Any]
    default: Any = None
    required: bool = False
    allowed: str = ""
    unit: str = ""
    help: str = ""


class Reader:
    """Collects the faults of a document while it is converted.

    Args:
        source: Name of the document for the faults.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.faults: list[errors.Fault] = []
        # Line of each key that was read, by its path.
        self.lines: dict[str, int] = {}

    def add_fault(
        self, node: yaml.Node | None, where: str, allowed: str
    ) -> None:
        """Add a fault: `node` at key path `where` should be `allowed`."""
        line = node.start_mark.line + 1 if node is not None else 1
        shown = _show(node)
        self.faults.append(
            errors.Fault(self.source, line, where, shown, allowed)
        )

    def add_fault_at(
        self, line: int, where: str, value: str, allowed: str
    ) -> None:
        """Add a fault by its line, where its node isn't available."""
        self.faults.append(
            errors.Fault(self.source, line, where, value, allowed)
        )

    def raise_faults(self) -> None:
        """Raise one error for all faults.

        Raises:
            InvalidDocumentError: if any fault was added.
        """
        if self.faults:
            raise errors.InvalidDocumentError(self.faults)

    def mapping(
        self, node: yaml.Node | None, fields: Sequence[Field], where: str
    ) -> dict[str, Any]:
        """Return the validated values of a mapping; unknown keys are faults."""
        values = {field.name: field.default for field in fields}
        if not isinstance(node, yaml.MappingNode):
            self.add_fault(node, where or "document", "a mapping of keys")
            return values
        fields_by_name = {field.name: field for field in fields}
        present_keys: set[str] = set()
        for key_node, value_node in node.value:
            key = str(key_node.value)
            path = f"{where}.{key}" if where else key
            self.lines.setdefault(path, key_node.start_mark.line + 1)
            if key not in fields_by_name:
                self.add_fault(
                    key_node, path, f"one of {', '.join(fields_by_name)}"
                )
                continue
            if key in present_keys:
                self.add_fault(key_node, path, "each key only once")
                continue
            present_keys.add(key)
            values[key] = fields_by_name[key].convert(self, value_node, path)
        for field in fields:
            if field.required and field.name not in present_keys:
                path = f"{where}.{field.name}" if where else field.name
                self.add_fault_at(
                    node.start_mark.line + 1,
                    path,
                    "(missing)",
                    field.allowed or "a value",
                )
        return values


def _show(node: yaml.Node | None) -> str:
    if node is None:
        return "(empty)"
    if isinstance(node, yaml.ScalarNode):
        return repr(node.value[:_MAX_SHOWN_CHARS])
    return f"a {node.id}"


def compose(text: str, source: str) -> tuple[Reader, yaml.Node | None]:
    """Parse YAML into nodes; refuse aliases and too large or deep documents.

    Raises:
        InvalidDocumentError: if the text is refused or isn't valid YAML.
    """
    reader = Reader(source)
    data = text.encode()
    if len(data) > MAX_BYTES:
        reader.add_fault_at(
            1, "document", "its size", f"under {MAX_BYTES} bytes"
        )
        reader.raise_faults()
    try:
        _check_events(data, reader)
        reader.raise_faults()
        return reader, yaml.compose(data, Loader=_LOADER)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, "problem", None) or "unreadable text"
        reader.add_fault_at(line, "document", problem, "valid YAML")
    except RecursionError:
        reader.add_fault_at(
            1, "document", "its depth", f"under {MAX_DEPTH} levels"
        )
    reader.raise_faults()
    raise AssertionError("unreachable: faults were added")


def _check_events(data: bytes, reader: Reader) -> None:
    """Refuse aliases and too deep nesting before any tree is built.

    A document of nested aliases expands to gigabytes (the "billion laughs"
    attack); a pass over the parser's events takes time and memory proportional
    to the text.
    """
    depth = 0
    for event in yaml.parse(data, Loader=_LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            reader.add_fault_at(
                line, "document", "an alias", "the value itself"
            )
            return
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            reader.add_fault_at(
                line, "document", "its depth", f"under {MAX_DEPTH} levels"
            )
            return


def string(
    *, max_length: int = 255, choices: Sequence[str] = ()
) -> Callable[[Reader, yaml.Node, str], str]:
    """Return a converter to `str`; if given, only `choices` are allowed."""

    def convert(reader: Reader, node: yaml.Node, where: str) -> str:
        if not isinstance(node, yaml.ScalarNode) or not node.value:
            reader.add_fault(node, where, "a text")
            return ""
        if choices and node.value not in choices:
            reader.add_fault(node, where, f"one of {', '.join(choices)}")
        if len(node.value) > max_length or not node.value.isprintable():
            reader.add_fault(
                node,
                where,
                f"printable text of at most {max_length} characters",
            )
        return str(node.value)

    return convert


def number(
    kind: type[int] | type[float], minimum: float, maximum: float
) -> Callable[[Reader, yaml.Node, str], Any]:
    """Return a converter to a number within bounds, both inclusive."""
    kind_name = "a whole number" if kind is int else "a number"

    def convert(reader: Reader, node: yaml.Node, where: str) -> Any:
        allowed = f"{kind_name} from {minimum:g} to {maximum:g}"
        try:
            value = kind(getattr(node, "value", ""))
        except (TypeError, ValueError):
            reader.add_fault(node, where, allowed)
            return kind(minimum)
        # This form of the comparison refuses NaN as well.
        if not minimum <= value <= maximum:
            reader.add_fault(node, where, allowed)
            return kind(minimum)
        return value

    return convert


def boolean(reader: Reader, node: yaml.Node, where: str) -> bool:
    """Convert `true` or `false`."""
    value = getattr(node, "value", None)
    if value not in ("true", "false"):
        reader.add_fault(node, where, "true or false")
    return bool(value == "true")


def address(reader: Reader, node: yaml.Node, where: str) -> str:
    """Convert an IP address and port, such as `127.0.0.1:7101`."""
    value = str(getattr(node, "value", ""))
    if not is_address(value):
        reader.add_fault(node, where, "an IP address and port, IP:PORT")
    return value


def is_address(value: str) -> bool:
    """Return whether `value` is an IP address and a port.

    An IPv6 address has no scope: that names an interface of one machine only,
    by any characters.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    if "%" in host or not is_number or len(port) > _MAX_PORT_DIGITS:
        return False
    return 0 < int(port) < 65536


def list_of(
    convert: Callable[[Reader, yaml.Node, str], Any], max_items: int = 10_000
) -> Callable[[Reader, yaml.Node, str], tuple[Any, ...]]:
    """Return a converter for a list whose items are converted by `convert`."""

    def convert_all(
        reader: Reader, node: yaml.Node, where: str
    ) -> tuple[Any, ...]:
        if not isinstance(node, yaml.SequenceNode):
            reader.add_fault(node, where, "a list")
            return ()
        if len(node.value) > max_items:
            reader.add_fault(
                node, where, f"a list of at most {max_items} items"
            )
            return ()
        return tuple(
            convert(reader, item, f"{where}[{index}]")
            for index, item in enumerate(node.value)
        )

    return convert_all


def mapping_of(
    convert: Callable[[Reader, yaml.Node, str], Any],
) -> Callable[[Reader, yaml.Node, str], dict[str, Any]]:
    """Return a converter for a mapping of any keys to values of one type."""

    def convert_all(
        reader: Reader, node: yaml.Node, where: str
    ) -> dict[str, Any]:
        if not isinstance(node, yaml.MappingNode):
            reader.add_fault(node, where, "a mapping")
            return {}
        return {
            str(key.value): convert(reader, value, f"{where}.{key.value}")
            for key, value in node.value
        }

    return convert_all


def record(
    fields: Sequence[Field], build: Callable[[Mapping[str, Any]], Any]
) -> Callable[[Reader, yaml.Node, str], Any]:
    """Return a converter for a nested mapping of declared fields."""

    def convert(reader: Reader, node: yaml.Node, where: str) -> Any:
        return build(reader.mapping(node, fields, where))

    return convert
