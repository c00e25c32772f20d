Feature: Operators change the configuration

  Background:
    Given the stored template and account, with due_ms 2000

  Scenario: Two operators race to change the same account
    When ada and ben plan
    And ada applies due_ms 3000
    And ben applies due_ms 4000
    Then ada ends with DONE
    And ben ends with CONFLICT naming ada
    And the stored due_ms is 3000

  Scenario: A race lost between reading and writing
    When ada applies due_ms 3000 while ben commits due_ms 4000
    Then ada ends with CONFLICT naming ben
    And the stored due_ms is 4000

  Scenario: A template changes under an account's change
    When ada and ben plan
    And ben applies a template change
    And ada applies due_ms 3000
    Then ada ends with CONFLICT naming ben

  Scenario: An account changes under its template's change
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
    And ada is told "this one was replaced or never made"

  Scenario: The key-value service is down
    Given the key-value service goes down after reading
    When ada applies due_ms 3000
    Then ada ends with UNAVAILABLE
    And ada is told "was not made"

  Scenario: The service goes down after a lost response
    Given the key-value service loses a response and goes down
    When ada applies due_ms 3000
    Then ada ends with UNAVAILABLE
    And ada is told "may still take effect"

  Scenario: A cut-off data centre holds acceptance up
    When ada applies due_ms 3000
    And sondrio-a has confirmed the change
    And ada waits for acceptance
    Then ada ends with NOT_ACCEPTED
    And ada is told "data centre lecco-a has confirmed revision 0"
    And the status names lecco-a as lagging
    When lecco-a has confirmed the change
    And ada waits for acceptance
    Then ada ends with DONE
