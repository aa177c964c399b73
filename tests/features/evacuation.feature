Feature: Nothing is started in a data centre that is evacuated

  # Guards against placement, preemption and gangs that count workers which must get nothing.
  Scenario: Work is placed in the other data centres, and runs go on
    Given a leader with 2 workers in each of the data centres "north" and "south"
    And 2 tasks run in "north"
    When "north" is evacuated
    And a gang of 2 whole workers and 4 tasks are submitted
    Then all of it that is placed is placed in "south"
    And the 2 tasks in "north" run on
    When the evacuation of "north" is taken back
    Then the rest is placed at once in "north"

  # Guards against urgent work that stops runs on workers which it may not use.
  Scenario: Urgent work preempts nothing in an evacuated data centre
    Given a leader with 1 workers in each of the data centres "north" and "south"
    And batch work fills all workers
    When "north" is evacuated
    And guaranteed work for a whole worker is submitted
    Then only runs in "south" are preempted

  # Guards against starts that were placed before the request and committed after it.
  Scenario: A placement that is committed after the request is withdrawn
    Given a leader with 1 workers in each of the data centres "north" and "south"
    When 2 tasks for whole workers are placed, and "north" is evacuated before the commit
    Then starts are ordered in "south" only

  # Guards against the repetition of an order to a worker that must get nothing.
  Scenario: An order without an effect is not repeated in an evacuated data centre
    Given a leader with 1 workers in each of the data centres "north" and "south"
    When 2 tasks for whole workers are ordered, and "north" is evacuated before a run is listed
    Then after 1200 ms the run in "north" is stopped and that in "south" is ordered again

  # Guards against a leader that begins its term without the requests.
  Scenario: A successor starts nothing in an evacuated data centre
    Given 2 gates and 2 agents in different data centres whose tasks run 300 ms
    When the first data centre is evacuated
    And the leader crashes
    And 4 jobs of 3 tasks are submitted
    Then all jobs are completed
    And the worker in the first data centre started nothing
    When the evacuation is taken back
    And 4 jobs of 3 tasks are submitted
    Then the worker in the first data centre starts something

  # Guards against orders that reach an agent before the leader knows of the request.
  Scenario: An agent refuses a start in its own data centre
    Given an agent that was told that "north" is evacuated
    When a start is ordered on its worker in "north"
    Then the worker gets no start, and it is refused

  # Guards against a start from a gate whose copy of the table may miss a request.
  Scenario: A start waits for a recent notice
    Given an agent that was told 5000 ms ago that nothing is evacuated
    When a start is ordered on its worker in "north"
    Then the worker gets no start
    When the agent is told that nothing is evacuated
    Then the worker gets the start

  Scenario Outline: What an agent may start after some notices
    Given an agent that starts nothing on notices older than 4000 ms
    When it gets these notices: <notices>
    Then at 10000 ms a start in "north" is <result>

    Examples:
      | notices                                                    | result             |
      |                                                            | evacuationsUnknown |
      | v1 aged 500 for 9500: none                                 | allowed            |
      | v1 aged 4100 for 9500: none                                | evacuationsUnknown |
      | v1 aged 500 for 9500: none, v2 aged 500 for 9600: north    | evacuated          |
      | v2 aged 500 for 9600: north, v1 aged 500 for 9700: none    | evacuated          |
      | v2 aged 500 for 9600: north, v3 aged 500 for 9700: south   | allowed            |
      | v1 aged 500 for 5000: none, v2 announced: north            | evacuated          |
      | v1 aged 500 for 5000: none, v2 announced: none             | evacuationsUnknown |
      | v1 aged 500 for 9500: none, v1 aged 5000 for 9600: none    | allowed            |

  # Guards against an old copy that looks new because the instance was suspended.
  Scenario: Time for which an instance was suspended counts
    Given an agent that starts nothing on notices older than 4000 ms
    When it gets these notices: v1 aged 500 for 9500: none
    Then at 10000 ms, after it was suspended for 4000 ms, a start in "north" is evacuationsUnknown

  Scenario: Without an agreed bound no start waits for a notice
    Given an agent of a deployment without a bound on evacuations
    When it gets these notices:
    Then at 10000 ms a start in "north" is allowed

  # Guards against a request that is missed, or kept, when the history of the store is lost.
  Scenario: Requests are read anew when the history of the store is lost
    Given a copy of the operator's table with requests for "north" and "south"
    When all rows are read again and only "south" is requested
    Then only "south" is evacuated, and "north" was until the copy was complete
