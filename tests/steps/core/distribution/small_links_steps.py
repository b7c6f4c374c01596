"""Steps of core/distribution/small_links.feature."""

import functools

from behave import given
from behave import then
from behave import when

from tests.support import fake_distribution
from tests.support import fake_links

SEED = 5
# Long enough for any size of tables over the links of these scenarios.
SETTLE_S = 120
MEGABYTE = 1e6


@given(
    "{control:d} control instances and {entries:d} entries with links of"
    " {mbps:d} Mbit/s"
)
def _(context, control, entries, mbps):
    context.small_links = functools.partial(
        fake_links.SmallLinks, SEED, control, entries
    )
    context.link_mbps = mbps


@given("tables of {routes:d} routes are in force at all of them")
def _(context, routes):
    make_value = functools.partial(fake_links.large_value, route_count=routes)
    # The links are fast while the tables are put in force.
    net = context.small_links(1e4, make_value)
    net.change()
    assert net.run_until(lambda: net.all_at(1), SETTLE_S) is not None
    net.set_link(context.link_mbps)
    context.net = net


@when("all entries on small links start again at once")
def _(context):
    context.net.restart_all()


@when("an edit adds {routes:d} routes")
def _(context, routes):
    values = {
        1: fake_distribution.value_of(1),
        2: fake_links.large_value(2, routes),
    }
    net = context.net = context.small_links(context.link_mbps, values.get)
    net.change()
    assert net.run_until(lambda: net.all_at(1), SETTLE_S) is not None
    net.run(SETTLE_S / 10)
    net.change()


@then("all entries on small links have the tables within {bound:d} s")
def _(context, bound):
    net = context.net
    newest = net.newest()
    took_s = net.run_until(lambda: net.all_at(newest), bound)
    behind = [name for name in net.entries if net.in_force(name) < newest]
    assert took_s is not None, f"{len(behind)} entries have not got the tables"


@then("no control instance held more than {most:d} MB of answers")
def _(context, most):
    held = context.net.most_held_bytes / MEGABYTE
    assert held <= most, f"{held:.1f} MB"
