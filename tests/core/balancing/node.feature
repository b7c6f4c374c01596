Feature: granted slots
  Ten entries share twelve servers of three slots. Each entry that chose by
  itself would send a payment to a server whose slots are all busy, and a
  student at the counter would wait behind an upload. One entry grants the
  slots; whatever happens to it, no slot is given twice.

  Scenario: more asks than slots fill every slot once
    Given placement of 4 entries over 12 servers
    When every entry asks for 12 slots
    Then 36 slots are in use, and the other asks were refused as not run

  Scenario: a refusal certain at once is not held back
    A long upload holds each slot. Nothing tells when one comes free, so a
    stock check that waited for it would only be refused later.
    Given placement of 2 entries over 1 servers
    When slots were used for 0.05 s each, and then all are held
    And 3 s pass in placement
    Then a new ask is refused within 0.1 s with a retry-after

  Scenario: the grantor dies holding slots
    Its callers' uploads end with it, but its machine may only be cut off.
    It never used more than one slot of each server itself; these stay unused
    until it is heard of again, and all others are granted on.
    Given placement of 4 entries over 12 servers
    When every entry asks for 8 slots
    And the grantor dies
    And 4 s pass in placement
    Then another entry grants, with the dead one's slots withheld
    When all slots are given back and every live entry asks for 16 slots
    Then 24 slots are in use in all
    When the dead entry starts again and 3 s pass in placement
    Then nothing is withheld

  Scenario: the grantor is frozen, replaced, and comes back
    A grantor that stood still for ten seconds believes that it still grants.
    What it says is refused by all who promised the newer term, and it learns
    of it before its next grant is used.
    Given placement of 4 entries over 3 servers
    When every entry asks for 2 slots
    And the grantor is frozen for 10 s while others take its place
    And the old grantor asks and grants again
    Then there is one grantor and no slot was over-run

  Scenario: the grantor stops as planned
    Given placement of 4 entries over 3 servers
    When the grantor leaves
    Then another entry grants within 1.0 s

  Scenario: control is cut off and the grantor dies as well
    Nobody can give a new term. A region that stood still until control came
    back would refuse every payment; the survivors go on with the slots that
    they held, which no one else can use.
    Given placement of 4 entries over 12 servers
    When every entry asks for 9 slots
    And control is cut off and the grantor dies
    And 8 s pass in placement
    And all slots are given back and every live entry asks for 12 slots
    Then 27 slots are in use in all
    When control is heard again and the dead entry starts again
    And 6 s pass in placement
    Then nothing is withheld

  Scenario: a release that was lost is noticed
    Given placement of 3 entries over 1 servers
    When every entry asks for 1 slots
    And all slots are given back while no message comes through
    And 4 s pass in placement
    And every entry asks for 1 slots
    Then 3 slots are in use in all

  Scenario: a release after a promise does not go to the old grantor
    An entry reports its slot to the new grantor and then gives it back. Did
    the old grantor, not yet replaced in its own eyes, hear of it too, both
    would grant the slot. The specification found this order of events.
    Given placement of 3 entries over 1 servers
    When an entry that uses a slot promises a newer term
    Then its release is sent to no one until the newer grantor beats

  Scenario: a grant for an earlier life is not used
    An entry that was started again counts its asks from 1 as before. A grant
    that was late on its way would fit an ask of the new life.
    Given placement of 3 entries over 1 servers
    When a grant for an earlier life reaches an entry that asks
    Then the ask is still open

  Scenario: traffic that was moved in leaves the headroom free
    Given placement of 2 entries over 5 servers
    When an entry asks for 15 slots for traffic moved in
    Then 12 slots are in use in all
    When every entry asks for 1 slots
    Then 14 slots are in use in all

  Scenario: a server that says it leaves gets no new work
    Given placement of 3 entries over 2 servers
    When server "s0" says that it leaves and 1 s pass in placement
    And every entry asks for 4 slots
    Then server "s0" has no slot in use

  Scenario: a grant that crossed with the server's leaving is given back
    Given placement of 2 entries over 2 servers
    When an entry hears that server "s0" leaves before the grantor does
    And that entry asks for 3 slots
    Then server "s0" has no slot in use

  Scenario: another attempt never gets the server that was tried
    A server dies under a read; the only free slot left is its own. The read
    was granted that server again, which the request's own invariant forbids:
    its caller got a bare 500. It waits for another server or is refused.
    Given placement of 2 entries over 1 servers
    When an entry asks for a slot of any server but "s0"
    Then that other attempt is refused, and others still get "s0"

  Scenario: the grantor's own server leaves between two of its ticks
    The entry that grants hears that a server leaves and is asked for a slot
    before it has counted its servers anew. It granted itself a slot of that
    server, gave it back as unfit and asked itself again, without end: the
    whole entry stood still and cut every upload that went through it.
    Given placement of 1 entries over 1 servers
    When the grantor hears that server "s0" leaves and asks at once
    Then the grantor's ask is refused or waits

  @soak
  Scenario: no slot is over-run in random runs
    When placement is run at random with faults
    Then no slot was over-run in any run
