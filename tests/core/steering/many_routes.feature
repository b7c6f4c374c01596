Feature: shares of pools with many routes
  Entries update the shares of each pool five times a second, whatever the
  tables are. If that takes long with many routes, requests wait behind it.

  # Guards against entries that are busy with the routes and answer no request.
  Scenario: shares and requests with 1400 routes
    Given traffic shares of 2 pools with 700 routes each
    When an edit changes one route
    And the shares are updated for 10 s while 130 requests are decided
    Then that took at most 3.3 % of a core

  # Guards against decisions that are kept when failure domains come or go.
  Scenario: a drained failure domain has servers again
    Given traffic shares of a pool whose failure domain "dar-1" is drained
    When only "dar-2" has servers and a request is decided
    And "dar-1, dar-2" have servers, the shares are updated and it is decided
    Then only the second decision closes "dar-1"

  # Guards against entries that keep the layouts of all revisions and are killed
  # for their memory.
  Scenario: layouts of older revisions are released
    Given traffic shares of 2 pools with 50 routes each
    When 20 edits add a route and the shares are updated after each
    Then only the layouts of the two newest revisions are in memory

  # Guards against entries that stand still for each edit.
  Scenario: an edit of 12600 routes of 400 pools
    Given traffic shares of 400 pools and 12600 routes in all
    When 4 edits change one route each
    Then an edit took at most 100 ms
