Feature: Coordination of a data centre
  Every step also checks that at most one leader may order, that each target
  has at most one owner that may order, and that no revision goes down.

  Scenario: A leader paused across its lease wakes
    Given a data centre with 4 instances
    When the leader is paused for 20 s
    Then another leader is in office
    When the paused instance wakes
    Then the woken instance may not order
    And after 10 s all targets have an owner that may order

  Scenario: Two leaders believe in themselves
    Given a data centre with 4 instances
    When the leader is cut off from its peers and the key-value service
    And 3 s pass
    Then at most one process may order
    When 12 s pass
    Then another leader is in office
    When the cut is healed
    Then after 10 s all targets have an owner that may order

  Scenario: The key-value service is down for an hour
    Given a data centre with 4 instances
    When the key-value service goes down
    And 20 s pass
    Then all targets are served
    And no process may order
    When an entry process dies
    And 10 s pass
    Then all targets are served
    And no process may order
    When 3600 s pass
    Then all targets are served
    And the key-value service got fewer than 4 calls a second
    When the key-value service returns
    Then after 20 s all targets have an owner that may order
    And a change is in force within 9 s

  Scenario: The key-value service goes down again right after its return
    Given a data centre with 4 instances
    When the key-value service goes down
    And 30 s pass
    And the key-value service returns for 1 s and goes down
    And 10 s pass
    Then all targets are served
    When the key-value service returns
    Then after 20 s all targets have an owner that may order

  Scenario Outline: Transaction answers are lost after the effect
    Given a data centre with 4 instances
    When the next <answers> transaction answers are lost
    And the leader dies
    Then after 25 s all targets have an owner that may order
    And a change is in force within 9 s

    Examples:
      | answers |
      | 1       |
      | 2       |
      | 5       |

  Scenario: An entry instance dies
    Given a data centre with 4 instances
    When an entry process dies
    Then its targets have no owner for 3 s
    And after 6 s all targets have an owner that may order

  Scenario: An entry instance leaves
    Given a data centre with 4 instances
    When an entry process leaves
    Then after 2 s all targets have an owner that may order

  Scenario: An entry instance is paused across its grant
    Given a data centre with 4 instances
    When an entry instance is paused for 10 s
    Then after 1 s all targets have an owner that may order
    When the paused instance wakes
    Then the woken instance may not order
    And after 5 s all targets have an owner that may order

  Scenario: A data centre is partitioned from the key-value service
    Given a data centre with 3 instances
    When the data centre is cut off from the key-value service
    And 10 changes are made elsewhere
    And an entry process restarts
    And 30 s pass
    Then all targets are served
    And the applied revision is older than the last change
    When the cut is healed
    Then the last change is in force within 9 s
    And after 15 s all targets have an owner that may order

  Scenario: A burst of a thousand changes
    Given a data centre with 4 instances
    When 1000 changes are made within a second
    Then the last change is in force within 2 s
    And each process got at most 20 configuration messages

  Scenario: All control processes are replaced together
    Given a data centre with 4 instances
    When all control processes are replaced
    Then after 15 s all targets have an owner that may order
    And a change is in force within 9 s

  Scenario: All instances are replaced together
    Given a data centre with 4 instances
    When all instances are replaced
    Then after 20 s all targets have an owner that may order
    And a change is in force within 9 s
