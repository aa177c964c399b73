Feature: A worker's capacity shrinks and grows while tasks run

  # Guards against starts that bring a worker over a capacity that has just shrunk.
  Scenario: No start brings a worker over the newest capacity that it reported
    Given 150 random histories of workers whose capacity shrinks and grows
    Then no start brings a worker over its newest reported capacity
    And all jobs end once the workers have their full capacity
    And some starts were refused because the capacity had shrunk

  # Guards against starts that were placed before the worker shrank and ordered after it.
  Scenario Outline: A start waits for room if the worker shrank before the commit
    Given a worker with 8 accelerators on which a <kind> of 2 tasks of 3 accelerators is placed
    When the worker's capacity changes to <accelerators> accelerators before the commit
    Then <ordered> starts are ordered
    And all tasks are ordered once the worker has 8 accelerators again

    Examples:
      | kind | accelerators | ordered |
      | step | 8            | 2       |
      | step | 7            | 2       |
      | step | 4            | 1       |
      | step | 2            | 0       |
      | gang | 4            | 0       |

  # Guards against starts that an agent passes on although its worker has shrunk since.
  Scenario Outline: An agent refuses a start that was ordered for a larger worker
    Given an agent whose worker reported <reported> accelerators
    When a start is ordered for a worker of <assumed> accelerators
    Then the start is <result>

    Examples:
      | reported | assumed | result  |
      | 8        | 8       | sent    |
      | 8        | 4       | sent    |
      | 4        | 8       | refused |

  # Guards against work placed beside a run that the leader has not recorded.
  Scenario: A run that is not recorded occupies its worker until its end is listed
    Given a worker with 8 accelerators that lists an unrecorded run of 6 accelerators
    When a task of 3 accelerators is submitted
    Then it is not placed
    And it is placed once the end of the unrecorded run is listed

  Scenario: Work waits while runs occupy more than the worker has left
    Given a worker with 8 accelerators that runs 2 tasks of 3 accelerators
    When the worker's capacity changes to 4 accelerators
    And a task of 1 accelerator is submitted
    Then it is not placed
    And no run is stopped
    And it is placed once one of the runs has ended

  # Guards against two runs of a task: a repeated order starts what was refused and placed anew.
  Scenario: A start that was refused is refused again when its order is repeated
    Given an agent whose worker reported 4 accelerators
    When a start is ordered for a worker of 8 accelerators
    And the refusal is reported
    And the worker reports 8 accelerators and the order is repeated
    Then the start is refused
