Feature: Maintenance within the availability budget
  Guards against requests interrupted by reboots, pools below their promised
  size, and zones whose VMs wait for an entry that no longer exists.

  Scenario: Every VM is rebooted under traffic while an entry is killed
    Given traffic at every entry
    When an operator switches to preset maintenance
    And entry-subic-2 is killed
    Then every VM is rebooted within 60 seconds and within the budget
    And no guarantee was violated
