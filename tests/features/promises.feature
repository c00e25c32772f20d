Feature: Guarantees that hold when processes, links and targets fail
  Two data centres, a and b, each with three instances, three engines and two
  booking services. Every scenario also checks, at each quarter second: no
  engine's memory is overcommitted and no last copy is unloaded (R1, R2), no
  booking runs twice (R5), and no fencing token or revision decreases (R8). At
  its end it checks that each caller has its own complete response or a clear
  error (R3), and that what was reported as not run was not run (R4).

  # R3, R5
  Scenario Outline: an owner dies while it relays responses
    Given a cluster with seed <seed>
    When a streamed request "s" for m1 is sent to <at>
    And a request "w" for m1 is sent to <at>
    And booking "b" is sent through <at> with key "k"
    And <wait> s pass
    And the owner that runs "<victim>" dies
    And 18 s pass
    Then "s" is answered
    And "w" is answered
    And booking "b" ran at most once
    When booking "b" is sent through a surviving instance with key "k"
    And 5 s pass
    Then booking "b" ran once
    And all responses are correct

    Examples:
      | seed | at | wait | victim |
      | 1    | a0 | 0.0  | s      |
      | 2    | a0 | 0.9  | s      |
      | 3    | a0 | 0.9  | w      |
      | 4    | a1 | 0.9  | b      |

  # R2, R3
  Scenario: a target dies with the only copies of its models
    Given a cluster with seed 5
    And b has no engines
    Then b offers no model to a
    When a streamed request "s" for m1 is sent to a0
    And 0.5 s pass
    And the target that runs "s" dies for good
    And a streamed request "other" for another model is sent to a1
    And 6 s pass
    Then "other" is answered
    When 70 s pass
    And a request "back" for m1 is sent to a1
    And 6 s pass
    Then "back" is answered
    And all models are resident
    And all responses are correct

  # R3, R4, R5
  Scenario Outline: a target freezes and resumes
    Given a cluster with seed 6
    When a streamed request "s" for m1 is sent to a0
    And booking "b" is sent through a0 with key "k"
    And 0.5 s pass
    And the target that runs "<victim>" freezes
    And <frozen> s pass
    And the frozen target resumes
    And 30 s pass
    And a request "after" for m1 is sent to a1
    And 6 s pass
    Then "after" is answered
    And booking "b" ran once
    And all responses are correct

    Examples:
      | victim | frozen |
      | s      | 1.5    |
      | s      | 20     |
      | b      | 4      |
      | b      | 60     |

  # R3, R5
  Scenario Outline: links duplicate messages and deliver them late and out of order
    Given a cluster with seed <seed>
    And links that duplicate messages
    When 8 streamed requests for all models are sent to all instances
    And 6 bookings are sent through all instances
    And 15 s pass
    Then all requests are answered
    And every booking ran once
    And all responses are correct

    Examples:
      | seed |
      | 7    |
      | 8    |

  # R3, R5: the gateway of b routes the requests that a cannot serve
  Scenario Outline: links between data centres duplicate messages
    Given a cluster with seed <seed>
    And a has no services
    And a has no engines
    And links that duplicate messages
    When 8 streamed requests for all models are sent to all instances
    And 6 bookings are sent through all instances
    And 15 s pass
    Then all requests are answered
    And every booking ran once
    And all responses are correct

    Examples:
      | seed |
      | 30   |
      | 31   |

  # R3: a broken connection to an engine
  Scenario: engines break off streams
    Given a cluster with seed 9
    And every engine breaks off its next 3 responses after 2 events
    When 8 streamed requests for all models are sent to all instances
    And 15 s pass
    Then all requests are answered
    And all responses are correct

  # R5
  Scenario Outline: one booking is sent twice at once
    Given a cluster with seed 10
    When booking "b" is sent through a0 with key "k"
    And booking "b" is sent through <other> with key "k"
    And 6 s pass
    Then booking "b" ran once
    When booking "b" is sent through a1 with key "k"
    And 3 s pass
    Then "last" is answered
    And booking "b" ran once
    And all responses are correct

    Examples:
      | other |
      | a1    |
      | b0    |

  # R4, R5
  Scenario Outline: the instance that received a booking dies before or after sending it
    Given a cluster with seed <seed>
    When booking "b" is sent through <first> with key "k"
    And <wait> s pass
    And <first> dies
    And booking "b" is sent through <next> with key "k"
    And 15 s pass
    And booking "b" is sent through <next> with key "k"
    And 5 s pass
    Then booking "b" ran at most once
    And all responses are correct

    Examples:
      | seed | first | wait | next |
      | 11   | a0    | 0.02 | a1   |
      | 12   | a1    | 0.11 | a2   |
      | 13   | a0    | 0.5  | a2   |
      | 14   | a2    | 0.5  | b1   |
      | 15   | a2    | 2.2  | a0   |

  # R4, R5
  Scenario: the key-value service is down
    Given a cluster with seed 16
    When an idempotency key "own" is issued at a0
    And the key-value service goes down
    And booking "b" is sent through a0 with key "k"
    And booking "i" is sent through a1 with key "own"
    And a streamed request "s" for m1 is sent to a2
    And 8 s pass
    Then "b" is refused as not_run
    And booking "b" did not run
    And "i" is answered
    And "s" is answered
    When booking "i" is sent through a2 with key "own"
    And 2 s pass
    Then booking "i" ran once
    When the key-value service recovers
    And 10 s pass
    And booking "b" is sent through a1 with key "k"
    And 4 s pass
    Then booking "b" ran once
    And all responses are correct

  # R4, R5
  Scenario: the response to a claim is lost
    Given a cluster with seed 17
    When booking "first" is sent through a0 with key "f"
    And 4 s pass
    And each instance loses the responses to its next 2 claims
    And booking "b" is sent through a0 with key "k"
    And 8 s pass
    Then "b" is answered
    And booking "b" ran once
    And all responses are correct

  # R5, R8
  Scenario: a data centre is cut off with bookings in flight
    Given a cluster with 4 copies of each model, seed 18
    When an idempotency key "own" is issued at b0
    And booking "b" is sent through b0 with key "k"
    And 0.5 s pass
    And data centre b is cut off
    And booking "b" is sent through a0 with key "k"
    And booking "i" is sent through b1 with key "own"
    And booking "i" is sent through a1 with key "own"
    And a streamed request "s" for m1 is sent to b2
    And booking "new" is sent through b0 with key "n"
    And 12 s pass
    Then booking "b" ran once
    And booking "i" ran once
    And "s" is answered
    And "new" is refused as not_run
    When the operator sets due_ms to 9000
    And 9 s pass
    Then the change is in force in a only
    And the change is not accepted
    When data centre b is healed
    And 9 s pass
    Then the change is in force at every process
    When booking "new" is sent through b0 with key "n"
    And 5 s pass
    Then booking "new" ran once
    And all responses are correct

  # R13: limits how many engines one request crashes. Suspicion is shared within
  # a data centre: two crashes in each, and one more for each further instance
  # that starts a copy of it before it learns of the first crash.
  Scenario Outline: a request crashes each target that runs it
    Given a cluster with 4 copies of each model, seed 19
    When a request that crashes its target is sent 18 times, <gap> s apart
    And 60 s pass
    And a request that crashes its target is sent 3 times, 5 s apart
    Then it crashed at most <limit> engines
    And "last" is refused as not_run
    When a request "after" for m1 is sent to a1
    And 6 s pass
    Then "after" is answered
    And all responses are correct

    Examples:
      | gap | limit |
      | 3   | 4     |
      | 0   | 8     |

  # R6
  Scenario: a leaving target gets no new requests
    Given a cluster with 4 copies of each model, seed 20
    When requests for all models arrive at all instances for 3 s
    And a target that serves m1 is listed as leaving
    And requests for all models arrive at all instances for 12 s
    And 10 s pass
    Then the leaving target got no request later than 3 s after that
    And all requests are answered
    And all responses are correct

  # R7
  Scenario Outline: a graceful stop of an instance breaks off nothing
    Given a cluster with seed <seed>
    When requests for all models arrive at all instances for 2 s
    And 4 bookings are sent through all instances
    And <name> is stopped gracefully
    And 12 s pass
    Then all requests are answered
    And every booking ran once
    And every target has an owner
    And all responses are correct

    Examples:
      | seed | name |
      | 21   | a0   |
      | 22   | a1   |
      | 23   | b2   |

  # R7
  Scenario: a stopped owner finishes the requests that other instances sent
    Given a cluster with seed 32
    When 6 bookings are sent through a1, a2
    And 0.3 s pass
    And a0 is stopped gracefully
    Then all requests are answered
    And every booking ran once
    And every target has an owner
    And all responses are correct

  # R2, R5, R8
  Scenario: all instances are replaced at the same time
    Given a cluster with seed 24
    When booking "b" is sent through a0 with key "k"
    And the operator sets due_ms to 9000
    And 9 s pass
    And every instance is replaced
    And 20 s pass
    Then the change is in force at every process
    And every target has an owner
    And all models are resident
    When booking "b" is sent through a new instance with key "k"
    And a streamed request "s" for m1 is sent to a new instance
    And 5 s pass
    Then booking "b" ran once
    And "s" is answered
    And all responses are correct

  # R8
  Scenario: an accepted configuration stays in force
    Given a cluster with seed 25
    When the operator sets due_ms to 9000
    Then the change is accepted within 9 s
    And the change is in force at every process
    When a0 restarts
    And data centre a is cut off
    And 12 s pass
    Then the change is in force at every process
    When data centre a is healed
    And 9 s pass
    Then the change is in force at every process
    And all responses are correct

  # R8
  Scenario: a change is not accepted before every process has applied it
    Given a cluster with seed 33
    When the entry process of a2 pauses
    And the operator sets due_ms to 9000
    And 5 s pass
    Then the change is not accepted
    When the entry process of a2 resumes
    Then the change is accepted within 9 s
    And the change is in force at every process

  # R8
  Scenario: configuration messages are late and duplicated
    Given a cluster with seed 34
    And links that duplicate messages
    When the operator sets due_ms to 8000
    And 2 s pass
    And the operator sets due_ms to 9000
    And 9 s pass
    Then the change is in force at every process

  # R1
  Scenario Outline: all models are replaced on engines too small for old and new ones
    Given a cluster of small engines, seed <seed>
    And orders are lost, late, duplicated and unanswered
    When the operator replaces all models
    And 200 s pass
    Then all models are resident

    Examples:
      | seed |
      | 35   |
      | 36   |

  # R8, R13
  Scenario: two operators change the configuration at once
    Given a cluster with seed 26
    When two operators set due_ms to 7000 and 8000 at once
    And 9 s pass
    Then one of them has won and its change is in force at every process
    And all responses are correct

  # R1, R2
  Scenario Outline: the demand for a model grows tenfold
    Given a cluster with seed <seed>
    And orders are lost, late, duplicated and unanswered
    When m1 gets 1 requests/s for 20 s
    And m1 gets 10 requests/s for 90 s
    And 40 s pass
    Then m1 has more copies than at the start
    And all models are resident
    And all responses are correct

    Examples:
      | seed |
      | 27   |
      | 28   |

  # R2, R3
  Scenario: the link between regions is cut and healed
    Given a cluster with seed 29
    And a has no engines
    When a request "s" for m1 is sent to a0
    And 0.5 s pass
    And data centre b is cut off from the other only
    And 8 s pass
    And a request "during" for m1 is sent to a1
    And 12 s pass
    Then "during" is refused as not_run
    When data centre b is healed
    And 8 s pass
    And a request "after" for m1 is sent to a2
    And 6 s pass
    Then "after" is answered
    And all responses are correct
