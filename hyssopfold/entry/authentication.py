"""Finds the organisation of a request by the key that the caller sent."""

from hyssopfold import http
from hyssopfold import tables
from hyssopfold.entry import exchange as exchange_module

# Time in seconds after which a caller may ask again, though only a change of
# the tables lets its request be served.
_NOT_ALLOWED_RETRY_S = 5.0
_STALE_RETRY_S = 0.5


def authenticate(
    exchange: exchange_module.Exchange,
    route: tables.Route,
    is_behind: bool,
) -> tables.Route | http.Refusal:
    """Set the organisation of a request; return the route that it may use.

    Args:
        exchange: The request.
        route: Its route.
        is_behind: Whether a newer revision, which may have the key, is still
            being fetched.
    """
    authenticator = exchange.snapshot.authenticator
    if not authenticator.is_required or route.public:
        return route
    keys = exchange.values(exchange.dialect.credential)
    organisation = authenticator.find(keys[0]) if len(keys) == 1 else None
    if organisation is None:
        return _tables_behind() if is_behind else _unknown_key()
    exchange.organisation = organisation.name
    return authenticator.route_for(route, organisation) or _no_region()


def keys_too_old() -> http.Refusal:
    """Return the refusal while no majority confirms that keys are valid."""
    remedy = "ask again soon: this entry reaches no majority of control"
    return http.Refusal(503, "keys-stale", "not-run", remedy, _STALE_RETRY_S)


def _tables_behind() -> http.Refusal:
    remedy = "ask again soon: this entry is fetching newer tables"
    return http.Refusal(503, "tables-behind", "not-run", remedy, _STALE_RETRY_S)


def _unknown_key() -> http.Refusal:
    remedy = "send the key of an organisation"
    return http.Refusal(
        401, "unknown-key", "not-run", remedy, _NOT_ALLOWED_RETRY_S
    )


def _no_region() -> http.Refusal:
    remedy = "allow the organisation and the route a common region"
    return http.Refusal(
        503, "no-region", "not-run", remedy, _NOT_ALLOWED_RETRY_S
    )
