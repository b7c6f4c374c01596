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
    per_entry = subset.connections_per_entry(connections, SLOTS, len(keeping))
    assert keeping
    assert per_entry >= min(
        subset.MIN_CONNECTIONS_PER_ENTRY, connections - SLOTS
    ), per_entry
    # The other entries open a connection for a granted slot, so there are at
    # most as many of these connections as slots.
    assert len(keeping) * per_entry + SLOTS <= connections
