Feature: Requests through any zone
  Guards against responses that reach the wrong caller, incomplete responses,
  and work that runs twice.

  Scenario Outline: A request through one zone
    When a caller sends a request to <entry>
    Then the caller gets the complete response
    And the request ran once

    Examples:
      | entry              |
      | entry-taal-1       |
      | entry-subic-1      |
      | entry-manila-bay-1 |

  Scenario Outline: A faulty backend server and non-idempotent work
    Given backend servers whose responses are <fault>
    When a caller sends a charge to entry-taal-1
    Then the outcome is <outcome>
    And the charge ran at most once

    Examples:
      | fault        | outcome |
      | truncated    | unknown |
      | close-after  | unknown |
      | wrong-length | done    |
      | slow-body    | done    |

  Scenario: Backend servers that send more than they declared
    Given backend servers whose responses are wrong-length
    When 40 requests are sent to entry-taal-1
    Then every caller gets the complete response to its own request

  Scenario: A charge that is repeated at another zone
    When a caller sends a charge to entry-taal-1
    And the same charge is sent again to entry-subic-1
    Then both responses are the same
    And the charge ran at most once
