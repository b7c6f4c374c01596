Feature: shifts of traffic under the cap
  An operator drains a region or changes weights. If all entries moved their
  traffic at once, or each by its own clock, a third of all requests would reach
  idle servers within seconds, with cold caches, full slots and refusals. The
  traffic moved in any minute must stay within the cap, whatever fails midway.

  Background:
    Given a simulation of shifts in dar, arusha and mwanza with a cap of 0.1 a minute

  Scenario: a drained region is empty after the time that the cap implies
    When the simulation runs for 5 minutes after the edit "drain dar"
    Then dar still serves 0.4 to 0.6 of its initial traffic
    When the simulation runs on for 6 minutes
    Then dar serves no requests and none were refused
    And the traffic moved under the cap

  Scenario: two operators edit the tables at the same time
    Both plans are accepted one second apart. If each of them used the whole
    cap, the traffic would move at twice the cap.
    When the simulation runs for 0 minutes after the edit "drain dar"
    And the simulation runs for 2 minutes after the edit "drain mwanza"
    Then mwanza still serves 0.7 to 0.9 of its initial traffic
    And the traffic moved under the cap

  Scenario: a plan is replaced midway
    The second edit returns the traffic. It starts from the mixture in force.
    Otherwise the shares would first jump to the start or the end of a plan.
    When the simulation runs for 5 minutes after the edit "drain dar"
    And the simulation runs for 1 minutes after the edit "no drain"
    Then dar still serves 0.5 to 0.7 of its initial traffic
    When the simulation runs on for 5 minutes
    Then dar still serves 1.0 to 1.0 of its initial traffic
    And the traffic moved under the cap

  Scenario: an entry restarts midway with a wrong clock
    Its clock is 20 minutes ahead: by its clock the drain has ended. It takes
    over the shares of a running entry instead of computing them.
    When the simulation runs for 5 minutes after the edit "drain dar"
    And a simulated entry restarts with a clock 1200 s ahead
    And the simulation runs on for 1 minutes
    Then the traffic moved under the cap
    And the progress of all entries differs by at most 0.05

  Scenario Outline: clocks of entries and control instances differ
    A clock that is ahead must not speed up a shift, and a clock that is behind
    must not stop it.
    Given the clocks of simulated entries are wrong by <entries> s and of control by <control> s
    When the simulation runs for 11 minutes after the edit "drain dar"
    Then dar serves no requests and none were refused
    And the traffic moved under the cap

    Examples:
      | entries      | control |
      | 0, 900, -900 | 0       |
      | 0, 2, -2     | 3600    |
      | 0, 2, -2     | -3600   |

  Scenario: an entry is frozen and continues
    Meanwhile its callers use the region's other entry, whose shift continues.
    If the frozen entry continued with its old shares, its callers would be
    moved back within a second, and then away a second time.
    When the simulation runs for 2 minutes after the edit "drain dar"
    And a simulated entry is frozen for 5 minutes
    And the simulation runs on for 1 minutes
    Then the traffic moved under the cap
    And the progress of the entry that was frozen differs by at most 0.02

  Scenario: the target has no free slots, then gets them
    If the share followed the clock while its requests are turned back, all of
    them would move in the second in which the target gets free slots.
    Given the other regions have free slots for half of the traffic of dar
    When the simulation runs for 12 minutes after the edit "drain dar"
    Then dar still serves 0.4 to 0.7 of its initial traffic
    And shifts of some entries wait with the reason "no-headroom-at-target"
    When the other regions have free slots for all of the traffic of dar
    And the simulation runs on for 2 minutes
    Then dar still serves 0.1 to 0.6 of its initial traffic
    And the traffic moved under the cap
    When the simulation runs on for 6 minutes
    Then dar serves no requests and none were refused

  Scenario: a region is lost and comes back cold
    The other regions take what fits into their slots at once. When the servers
    come back, their caches are cold, so their callers must not return at once.
    When the servers of dar are lost for 2 minutes
    Then dar serves no requests and none were refused
    When the servers of dar come back and run for 1 minutes
    Then dar still serves 0.05 to 0.2 of its initial traffic
    And the traffic moved under the cap since then
    When the simulation runs on for 11 minutes
    Then dar still serves 1.0 to 1.0 of its initial traffic

  Scenario: an entry is frozen while a region is lost and comes back
    The entry has no record of the loss. Without the shares of another entry it
    would send all of its callers home at once, to cold servers, while the other
    entries return them under the cap. A sixth of all requests moved within a
    second.
    When a simulated entry of dar is frozen while dar is lost and comes back
    And that simulated entry runs again for 1 minutes
    Then the traffic moved under the cap since then

  Scenario: a lost region comes back just after an entry restarted
    In the first seconds of a new system, regions are opened without a shift as
    their servers become ready. An entry that restarted in a running system did
    the same and sent its callers home at once to a region that came back then.
    When a simulated entry of dar restarts as dar is lost, and dar comes back
    And the simulation runs on for 1 minutes
    Then the traffic moved under the cap since then

  Scenario: a lost region comes back after entries restarted one after another
    An entry restarts as a region is lost, so it never sees it ready. Another
    entry restarts and adopts its shares, in which that region is open. Then the
    region comes back, and the second entry sends it all of its callers at once.
    When a simulated entry of arusha restarts as mwanza is lost
    And an entry of mwanza adopts the shares of that entry, and mwanza comes back
    And the simulation runs on for 1 minutes
    Then the traffic moved under the cap since then

  Scenario: the target region of a shift is lost
    No announcements of servers in arusha arrive. Its requests go to other
    regions at once and return under the cap when announcements arrive again.
    When the simulation runs for 3 minutes after the edit "drain dar"
    And the servers of arusha are lost for 1 minutes
    Then arusha serves no requests and none were refused
    When the servers of arusha come back and run for 2 minutes
    Then the traffic moved under the cap since then

  Scenario: a failure domain is drained
    When the simulation runs for 5 minutes after the edit "drain dar-1"
    Then failure domain dar-1 still serves 0.4 to 0.6 of its initial traffic
    When the simulation runs on for 6 minutes
    Then failure domain dar-1 still serves 0.0 to 0.0 of its initial traffic
    And the traffic moved under the cap
