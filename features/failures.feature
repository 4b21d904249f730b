Feature: Failures under traffic
  Guards against lost answers, untrue refusals and work that runs twice.

  Scenario Outline: An entry is killed
    Given traffic at every entry
    When <entry> is killed
    And 2 seconds pass
    Then the other entries answer
    And no promise was broken

    Examples:
      | entry              |
      | entry-taal-2       |
      | entry-subic-2      |
      | entry-manila-bay-2 |

  # The outcome of a key is stored after the answer, so a kill within some
  # milliseconds of it leaves the outcome unknown to a repeat.
  Scenario: A charge done by an entry that is killed
    When a caller sends a charge to entry-taal-2
    And 1 seconds pass
    And entry-taal-2 is killed
    And the same charge is sent again to entry-subic-1
    Then both answers are the same
    And the charge ran at most once

  Scenario: A ticket of an entry that is killed
    Given a ticket of entry-subic-2
    When entry-subic-2 is killed
    And a caller sends a charge with the ticket to entry-subic-1
    Then the outcome is unknown
    And the charge never ran

  Scenario: A VM that leaves
    Given traffic at every entry
    When the platform announces that VM taal-vm-001 is leaving
    And 5 seconds pass
    And VM taal-vm-001 is terminated
    And 1 seconds pass
    Then VM taal-vm-001 got no request in the last 3 seconds
    And no request on VM taal-vm-001 was cut off
    And no promise was broken

  Scenario: A graceful stop cuts nothing off
    Given traffic at every entry
    When a long request is in progress at entry-subic-2
    And entry-subic-2 is asked to stop
    Then the long request gets its answer
    And entry-subic-2 ends with exit code 0
    And no promise was broken

  Scenario: The platform is down
    Given traffic at every entry
    When the platform goes down
    And 4 seconds pass
    Then every entry answers idempotent requests
    And a charge with the caller's own key is refused as not run
    And an operator cannot switch presets
    When the platform comes back
    Then every entry answers charges within 10 seconds
    And no promise was broken

  Scenario: A zone is cut off from the platform
    Given traffic at every entry
    When the platform is silent to zone taal
    And 3 seconds pass
    Then every entry answers idempotent requests
    And no promise was broken

  Scenario: The holder of the control lease is paused
    When the holder of the control lease is paused
    Then another entry holds the control lease within 20 seconds
    When the paused entry goes on
    Then the paused entry does not act as the controller within 5 seconds
