Feature: Coordination of a data centre
  Orders are commands to an engine to load or unload a model. Every step also
  checks that at most one leader may send orders, that each target has at most
  one owner that may send orders, and that no revision decreases.

  Scenario: A leader is paused until its lease has expired
    Given a data centre with 4 instances
    When the leader is paused for 20 s
    Then another process is the leader
    When the paused instance resumes
    Then the resumed instance may not send orders
    And after 10 s all targets have an owner that may send orders

  Scenario: A leader is cut off while another one is elected
    Given a data centre with 4 instances
    When the leader is cut off from its peers and the key-value service
    And 3 s pass
    Then at most one process may send orders
    When 12 s pass
    Then another process is the leader
    When the connections are restored
    Then after 10 s all targets have an owner that may send orders

  Scenario: The key-value service is down for an hour
    Given a data centre with 4 instances
    When the key-value service goes down
    And 20 s pass
    Then all targets are served
    And no process may send orders
    When an entry process dies
    And 10 s pass
    Then all targets are served
    And no process may send orders
    When 3600 s pass
    Then all targets are served
    And the key-value service got fewer than 4 calls a second
    When the key-value service returns
    Then after 20 s all targets have an owner that may send orders
    And a change is in force within 9 s

  Scenario: The key-value service goes down again right after its return
    Given a data centre with 4 instances
    When the key-value service goes down
    And 30 s pass
    And the key-value service returns for 1 s and goes down
    And 10 s pass
    Then all targets are served
    When the key-value service returns
    Then after 20 s all targets have an owner that may send orders

  Scenario Outline: Transactions take effect but their responses are lost
    Given a data centre with 4 instances
    When the next <responses> transaction responses are lost
    And the leader dies
    Then after 25 s all targets have an owner that may send orders
    And a change is in force within 9 s

    Examples:
      | responses |
      | 1         |
      | 2         |
      | 5         |

  Scenario: An entry instance dies
    Given a data centre with 4 instances
    When an entry process dies
    Then its targets have no owner for 3 s
    And after 6 s all targets have an owner that may send orders

  Scenario: An entry instance leaves
    Given a data centre with 4 instances
    When an entry process leaves
    Then after 2 s all targets have an owner that may send orders

  Scenario: An entry instance is paused until its grant has expired
    Given a data centre with 4 instances
    When an entry instance is paused for 10 s
    Then after 1 s all targets have an owner that may send orders
    When the paused instance resumes
    Then the resumed instance may not send orders
    And after 5 s all targets have an owner that may send orders

  Scenario: A data centre is partitioned from the key-value service
    Given a data centre with 3 instances
    When the data centre is cut off from the key-value service
    And 10 changes are written to the key-value service
    And an entry process restarts
    And 30 s pass
    Then all targets are served
    And the applied revision is older than the last change
    When the connections are restored
    Then the last change is in force within 9 s
    And after 15 s all targets have an owner that may send orders

  Scenario: A burst of a thousand changes
    Given a data centre with 4 instances
    When 1000 changes are made within a second
    Then the last change is in force within 2 s
    And each process got at most 20 configuration messages

  Scenario: All control processes are replaced together
    Given a data centre with 4 instances
    When all control processes are replaced
    Then after 15 s all targets have an owner that may send orders
    And a change is in force within 9 s

  Scenario: All instances are replaced together
    Given a data centre with 4 instances
    When all instances are replaced
    Then after 20 s all targets have an owner that may send orders
    And a change is in force within 9 s
