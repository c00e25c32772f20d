Feature: Engine memory and model availability when orders fail

  Scenario Outline: An order for a model is <outcome>
    Given engines e1 and e2 that check fencing tokens
    And e1 holds m1
    When the next order at e2 is <outcome>
    And e2 is wanted to hold m1
    And 200 seconds pass
    Then e2 holds m1
    And no invariant was violated

    Examples:
      | outcome    |
      | lost       |
      | late       |
      | doubled    |
      | unanswered |

  Scenario: A model is moved without losing its last copy
    Given engines e1 and e2 that ignore fencing tokens
    And e1 holds m1
    When the next order at e2 is late
    And e1 is wanted to hold m4
    And e2 is wanted to hold m1
    And 200 seconds pass
    Then e1 holds m4
    And e2 holds m1
    And no invariant was violated

  Scenario: An owner whose grant has expired sends no order
    Given engines e1 and e2 that ignore fencing tokens
    And e1 holds m1
    When the owner of e1 loses its grant
    And e1 is wanted to hold m3
    And 60 seconds pass
    Then e1 holds m1
    And no invariant was violated

  Scenario: An old order arrives late at an engine that ignores fencing
    Given engines e1 and e2 that ignore fencing tokens
    And e1 holds m1
    When the next order at e1 is late
    And e1 is wanted to hold m1 m3
    And 3 seconds pass
    And e1 gets a new owner
    And e1 is wanted to hold m1 m2
    And 10 seconds pass
    Then e1 holds m1
    And no invariant was violated
    When 120 seconds pass
    Then e1 holds m1 m2
    And no invariant was violated

  Scenario: An engine crashes with the only copy of a model
    Given engines e1 and e2 that check fencing tokens
    And e1 holds m1
    When e1 crashes
    And placement plans for m1
    And 60 seconds pass
    Then e2 holds m1
    And no invariant was violated

  Scenario: A version change that does not fit in memory is refused
    Given engines e1 and e2 that check fencing tokens
    And e1 holds m1 m2
    And e2 holds m3 m4
    When placement plans for m1 m2 m3 m4 m1@2
    Then the plan is refused because m1@2 needs 500 MB
    And e1 holds m1 m2
    And no invariant was violated
