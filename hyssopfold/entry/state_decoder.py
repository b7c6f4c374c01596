"""Decodes the revisions of the state, of which few rows change at a time."""

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.distribution import rows

# Shape of a state after its tables: shifts, version, rows of the operator's
# document, evacuated failure domains.
_SHAPE_AFTER_TABLES = (1, 0, 1, 1)
# Section of the document's rows, counted from the end.
_DOCUMENT_SECTION = -2


class StateDecoder:
    """Decodes one revision after another; unchanged routes are shared.

    With many routes it would take long to decode all of them for each edit, and
    requests that still use older revisions would keep a copy of each route. The
    operator's document, which no entry needs, is left out.
    """

    def __init__(self) -> None:
        self._rows = rows.EMPTY
        self._state = state.State()
        self._routes: dict[bytes, tables.Route] = {}

    def decode(self, value: rows.Rows) -> state.State:
        """Return the state without the operator's document.

        Args:
            value: The rows of its canonical encoding.

        Raises:
            InvalidDocumentError: if the rows don't encode a state.
        """
        if value is not self._rows:
            self._state = self._decode(value)
            self._rows = value
        return self._state

    def unreadable_reason(self, value: rows.Rows) -> str:
        """Return why this program cannot decode a value, or "" if it can."""
        try:
            self.decode(value)
        except errors.InvalidDocumentError as exc:
            return exc.summary
        return ""

    def _decode(self, value: rows.Rows) -> state.State:
        if value.shape[1:] != _SHAPE_AFTER_TABLES or value.shape[0] <= 1:
            return state.decode(rows.join(value))._replace(rows=())
        sections = list(value.sections)
        sections[0] = sections[_DOCUMENT_SECTION] = ()
        others = rows.Rows(value.shape, tuple(sections))
        new_state = state.decode(rows.join(others))
        self._routes = self._decode_routes(value.sections[0])
        new_tables = new_state.tables._replace(
            routes=tuple(self._routes.values())
        )
        return new_state._replace(tables=new_tables)

    def _decode_routes(
        self, section: rows.Section
    ) -> dict[bytes, tables.Route]:
        known = self._routes
        new_rows = [row for row in section if row not in known]
        new_routes = dict(
            zip(new_rows, tables.decode_routes(new_rows), strict=True)
        )
        return {row: known.get(row) or new_routes[row] for row in section}
