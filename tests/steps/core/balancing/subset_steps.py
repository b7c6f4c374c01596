"""Steps of core/balancing/subset.feature."""

from behave import then

from hyssopfold.core.balancing import subset

SLOTS = 3


@then("{entries:d} entries keep at most {connections:d} connections in all")
def _(context, entries, connections):
    names = [f"entry-{number}" for number in range(entries)]
    keeping = [
        name
        for name in names
        if subset.keeps_idle_connections(
            name, "ledger-1", names, connections, SLOTS
        )
    ]
    each = subset.connections_per_entry(connections, SLOTS, len(keeping))
    assert keeping
    assert each >= min(subset.MIN_CONNECTIONS_PER_ENTRY, connections - SLOTS), (
        each
    )
    # The others open one for a granted request, and there are only so many.
    assert len(keeping) * each + SLOTS <= connections
