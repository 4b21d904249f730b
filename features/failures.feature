Feature: Failures under traffic
  Guards against lost responses, refusals of requests that were run, and work
  that runs twice.

  Scenario Outline: An entry is killed
    Given traffic at every entry
    When <entry> is killed
    And 2 seconds pass
    Then the other entries serve requests
    And no guarantee was violated

    Examples:
      | entry              |
      | entry-taal-2       |
      | entry-subic-2      |
      | entry-manila-bay-2 |

  # The outcome of a key is stored after the response is sent. If the entry is
  # killed within milliseconds of the response, a repeated request gets an
  # unknown outcome.
  Scenario: A charge done by an entry that is killed
    When a caller sends a charge to entry-taal-2
    And 1 seconds pass
    And entry-taal-2 is killed
    And the same charge is sent again to entry-subic-1
    Then both responses are the same
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
    And no request on VM taal-vm-001 was interrupted
    And no guarantee was violated

  Scenario: A graceful stop interrupts no request
    Given traffic at every entry
    When a long request is in progress at entry-subic-2
    And entry-subic-2 is stopped gracefully
    Then the long request gets its response
    And entry-subic-2 ends with exit code 0
    And no guarantee was violated

  Scenario: The platform is down
    Given traffic at every entry
    When the platform goes down
    And 4 seconds pass
    Then every entry serves idempotent requests
    And a charge with the caller's own key is refused as not run
    And an operator cannot switch presets
    When the platform recovers
    Then every entry serves charges within 10 seconds
    And no guarantee was violated

  Scenario: A zone is partitioned from the platform
    Given traffic at every entry
    When the platform does not respond to zone taal
    And 3 seconds pass
    Then every entry serves idempotent requests
    And no guarantee was violated

  Scenario: The holder of the control lease is paused
    When the holder of the control lease is paused
    Then another entry holds the control lease within 20 seconds
    When the paused entry is resumed
    Then the paused entry does not act as the controller within 5 seconds
