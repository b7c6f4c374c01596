Feature: spreading who is there
  A server tells one entry that it is leaving; another entry grants its slots.
  If the word came there late, payments would go to a server that stops. Words
  also arrive twice, late and crossed, and a silent region must not look like
  the death of all its servers.

  Background:
    Given 12 instances in 3 regions with 24 servers, loss 0

  Scenario: a fresh entry knows all servers before it takes calls
    When a fresh instance starts
    Then it knows 24 servers when it says that it is ready, within 1.5 s

  Scenario Outline: leaving reaches every instance within 3 s, loss <loss>
    When words get lost at a rate of <loss>
    And a server says to one instance that it leaves
    Then within 3 s no instance takes the server for ready

    Examples:
      | loss |
      | 0.0  |
      | 0.3  |

  Scenario Outline: a server that only says goodbye leaves everywhere, <where>
    A server announces itself for a while, then asks once to be taken out and
    stops seconds later. Its goodbye bears no number; counted below its own
    last announcement it was taken for an old word, and payments went on.

    When the servers announce themselves for 10 s
    And a server asks <where> to be taken out
    Then within 2 s no instance takes the server for ready
    And for 5 s of further words it stays out

    Examples:
      | where               |
      | its own instance    |
      | another instance    |

  Scenario: an announcement that arrives late does not make a server warm
    When a server becomes cold for 3 s, and all know
    And what it said before arrives late at another instance
    Then every instance takes it for cold

  Scenario: a fresh instance is not told of a cold spell that is over
    Every server that had been cold in its life got next to nothing from an
    entry for the first seconds after it had restarted.

    When a server becomes cold for 3 s, and all know
    And the servers announce themselves for 10 s
    And a fresh instance starts
    Then for 2 s no instance takes it for cold

  Scenario: a server that falls silent is gone everywhere
    When a server falls silent
    Then within 8 s no instance takes the server for ready

  Scenario: a monitor that dies does not take its servers along
    When the instance that hears a server dies
    And the server announces itself to another instance
    Then for 10 s the server is ready at every live instance

  Scenario: a region that is cut off is held for a while, then dropped
    When the instances of one region are cut off from the others
    Then after 12 s the others still take its servers for ready
    And after 60 s they do not
    When the cut heals
    Then after 12 s all instances know 24 servers

  Scenario: an instance without power is named to callers no more within 5 s
    A machine loses power. Callers that are sent there connect in vain for a
    second, of the one they have; until its lease ended, 6 s, a third of a
    region's callers were.

    When an instance dies
    Then within 5 s every other instance suspects it and nobody else

  Scenario: in calm nobody is suspected
    Then for 60 s no instance suspects another

  Scenario: the word of a dropped instance does not go round for ever
    When an instance dies
    Then within 30 s no instance knows it

  Scenario: doubled, late and crossed words change nothing
    When datagrams are doubled and delayed at random for 20 s
    Then all instances know 24 servers and 12 instances

  Scenario: control bytes stay within the budget
    Then a node sends less than 10000 bytes a second
