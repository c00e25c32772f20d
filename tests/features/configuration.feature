Feature: Operators change the configuration

  Background:
    Given a stored template and an account with due_ms 2000

  Scenario: Two operators change the same account after reading the same revision
    When ada and ben plan
    And ada applies due_ms 3000
    And ben applies due_ms 4000
    Then ada ends with DONE
    And ben ends with CONFLICT naming ada
    And the stored due_ms is 3000

  Scenario: Another operator commits between reading and writing
    When ada applies due_ms 3000 while ben commits due_ms 4000
    Then ada ends with CONFLICT naming ben
    And the stored due_ms is 4000

  Scenario: A template changes between the plan and the account's change
    When ada and ben plan
    And ben applies a template change
    And ada applies due_ms 3000
    Then ada ends with CONFLICT naming ben

  Scenario: An account changes while its template's change is being applied
    When ada lowers the maximum to 2500 while ben commits due_ms 4000
    Then ada ends with CONFLICT naming ben
    And the stored due_ms is 4000

  Scenario: The response is lost after the change took effect
    Given the next response of the key-value service is lost
    When ada applies due_ms 3000
    Then ada ends with DONE
    And the stored due_ms is 3000
    And the change was written once

  Scenario: The response is lost and the change is replaced at once
    Given the next response of the key-value service is lost
    When ada applies due_ms 3000 and ben replaces it by due_ms 4000
    Then ada ends with CONFLICT naming ben
    And the result of ada contains "this one was replaced or never made"

  Scenario: The key-value service is down
    Given the key-value service goes down between reading and writing
    When ada applies due_ms 3000
    Then ada ends with UNAVAILABLE
    And the result of ada contains "was not made"

  Scenario: The service goes down after a lost response
    Given the key-value service loses a response and goes down
    When ada applies due_ms 3000
    Then ada ends with UNAVAILABLE
    And the result of ada contains "may still take effect"

  Scenario: An unreachable data centre delays acceptance
    When ada applies due_ms 3000
    And sondrio-a has confirmed the change
    And ada waits for acceptance
    Then ada ends with NOT_ACCEPTED
    And the result of ada contains "data centre lecco-a has confirmed revision 0"
    And the status reports only lecco-a as lagging
    When lecco-a has confirmed the change
    And ada waits for acceptance
    Then ada ends with DONE
