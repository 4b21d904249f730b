Feature: Maintenance within the availability budget
  Guards against requests cut off by reboots and pools below their promise.

  Scenario: Every VM is rebooted under traffic
    Given traffic at every entry
    When an operator switches to preset maintenance
    Then every VM is rebooted within 60 seconds and within the budget
    And no promise was broken
