Feature: The same configuration at all entries
  Guards against entries that keep an old preset or revert to one.

  Scenario: A preset switch reaches every entry
    When an operator switches to preset peak
    Then every entry shows preset peak within 9 seconds
    When an operator switches to preset ordinary
    Then every entry shows preset ordinary within 9 seconds

  Scenario: A preset switch with a slow platform
    Given a platform that takes 1 second for each call
    When an operator switches to preset peak
    Then every entry shows preset peak within 9 seconds
