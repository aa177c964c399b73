Feature: A task that crashes its workers is given up, and other work is not

  # Guards against a task that crashes one worker after the other, also under several leaders.
  Scenario: A task that crashes every worker is given up after three crashes
    Given 3 gates and 4 agents whose tasks run 600 ms
    When a job of 1 task is submitted that crashes each worker that starts it
    And that task was started 2 times
    And the leader crashes
    Then that job is reported as failed
    And that task was started 3 times
    And no task is running in the end
    And no invariant of runs is violated

  # Guards against blame for tasks that run beside the one that crashes the workers.
  Scenario: Tasks beside one that crashes every worker are not given up
    Given 2 gates and 4 agents whose tasks run 1500 ms
    When 3 jobs of 2 tasks are submitted
    And 6 tasks are running
    And a job of 1 task is submitted that crashes each worker that starts it
    Then that job is reported as failed
    And all other jobs are completed
    And no other task was started more than 2 times
    And no invariant of runs is violated

  # Guards against work of a job that goes on after one of its tasks was given up.
  Scenario: The other tasks of a job end with the task that is given up
    Given 2 gates and 4 agents whose tasks run 20000 ms
    When a job of 3 tasks and a later step is submitted whose first task crashes each worker
    Then that job is reported as failed
    And no task is running in the end
    And the later step was not begun
    And no invariant of runs is violated

  # Guards against gangs that are retried without a limit as one member crashes its worker.
  Scenario: A gang of which one member crashes each worker is given up
    Given 2 gates and 4 agents whose tasks run 20000 ms
    When a gang of 3 tasks for whole workers is submitted whose first task crashes each worker
    Then that job is reported as failed
    And that task was started 3 times
    And no task is running in the end
    And no invariant of runs is violated

  # Guards against a worker of which no agent knows how it ended, and blame for its tasks.
  Scenario: Workers that restart together with their agents blame nobody
    Given 2 gates and 1 agents whose tasks run 1500 ms
    When 1 jobs of 2 tasks are submitted
    And the worker and its agent restart 5 times while its tasks run
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario Outline: The agent tells a crash from other ends of its worker
    Given an agent whose worker has answered
    When its calls to the worker <end>
    Then the worker <crashed> crashed when another takes its place

    Examples:
      | end                                   | crashed |
      | are refused                           | has     |
      | break                                 | has     |
      | get no answer in time                 | has not |
      | break and are answered again          | has not |
      | are answered by another incarnation   | has not |
      | break and are answered by another one | has     |

  # Guards against verdicts on single crashes, which also happen without a cause in a task.
  Scenario Outline: A task is given up after three crashes, one of them without other jobs
    Given a task under which <total> workers crashed, <alone> of them without other jobs
    Then it is <verdict>

    Examples:
      | total | alone | verdict    |
      | 2     | 2     | continued  |
      | 3     | 0     | continued  |
      | 3     | 1     | given up   |
      | 4     | 0     | given up   |

  # Guards against blame for work on a rack that loses its power.
  Scenario: Workers that crash at the same moment blame no runs that had lived
    When 3 workers crash within 200 ms, each with a run of 4000 ms
    Then no run is suspected

  Scenario: Workers that crash at the same moment under new runs blame these
    When 3 workers crash within 200 ms, each with a run of 50 ms
    Then each run is suspected

  Scenario: Workers that crash one after the other blame what ran there
    When 3 workers crash within 3000 ms, each with a run of 4000 ms
    Then each run is suspected

  # Guards against records of tasks that a gate of the earlier version wrote.
  Scenario: Task records without crashes are read
    Given a task record of the earlier version
    Then it is read as a task without crashes
    And a record with 2 crashes is read as it was written

  # Guards against healthy tasks that are shown as failed since their workers failed.
  Scenario: Work on workers that fail together again and again is completed
    Given 6 simulated workers whose tasks run 8000 ms
    When 6 jobs of 3 simulated tasks are submitted
    And 3 workers crash together 4 times, 6000 ms apart
    Then all simulated jobs are completed within 120000 ms

  # Guards against healthy tasks that lose one worker after the other to a task beside them.
  Scenario: A task that crashes workers costs other tasks one run each
    Given 6 simulated workers whose tasks run 8000 ms
    When 6 jobs of 3 simulated tasks are submitted
    And a simulated job is submitted that crashes its workers
    Then that simulated job is failed within 60000 ms
    And all simulated jobs are completed within 120000 ms
    And no other simulated task was under more than 1 crashes

  Scenario: Several tasks that crash workers are given up, and nothing else
    Given 6 simulated workers whose tasks run 8000 ms
    When 5 jobs of 3 simulated tasks are submitted
    And 3 simulated jobs are submitted that crash their workers
    Then these simulated jobs are failed within 120000 ms
    And all simulated jobs are completed within 120000 ms

  # Guards against blame for work that was sent to a worker after its crash.
  Scenario: A task that is placed on a worker that has crashed is not blamed
    Given 1 simulated workers whose tasks run 1000 ms
    When 1 worker crashes
    And 1 jobs of 2 simulated tasks are submitted
    Then all simulated jobs are completed within 10000 ms
    And no crash was counted

  # Guards against work that is placed where a worker is likely to crash.
  Scenario: A task under which two workers crashed runs alone until it has lived
    Given 3 simulated workers whose tasks run 60000 ms
    And a simulated job whose worker crashed 2 times
    When 8 jobs of 3 simulated tasks are submitted
    And 4000 ms pass
    Then nothing runs beside that job
    When 2000 ms pass
    Then other work runs beside that job

  # Guards against busy workers on which other work takes each gap before a suspect can.
  Scenario: A worker is kept from new work until a suspect can run there alone
    Given 2 simulated workers whose tasks run 3000 ms
    And a simulated job whose worker crashed 1 times
    When its worker crashes again and 80 urgent simulated jobs come
    Then that job runs alone after at most 4900 ms

  # Guards against a suspect that waits for ever for a worker of its own.
  Scenario: A suspect is placed beside other work if no worker gets empty
    Given 2 simulated workers whose tasks run 60000 ms
    And 4 jobs of 3 simulated tasks are submitted
    And a simulated job is submitted and its worker has crashed 2 times
    When 12000 ms pass
    Then that job runs

  Scenario: A cancelled job stays cancelled while crashes under it are counted
    Given 3 simulated workers whose tasks run 60000 ms
    And a simulated job is submitted that crashes its workers
    When its third worker has crashed and it is cancelled
    And 10000 ms pass
    Then that simulated job is cancelled, and its task is not given up
    And no simulated task runs

  # Guards against a task that starts on an order from before it was given up.
  Scenario: A run that starts after its task was given up is stopped
    Given 3 simulated workers whose tasks run 60000 ms
    And a simulated job is submitted that crashes its workers
    And that simulated job is failed within 60000 ms
    When a late order starts its task again
    And 500 ms pass
    Then no simulated task runs

  # Guards against counts that begin anew with each leader.
  Scenario: Crashes are counted across leaders
    Given 4 simulated workers whose tasks run 60000 ms
    And a simulated job is submitted that crashes its workers
    When each crash is followed by a takeover
    Then that simulated job is failed within 60000 ms
    And it has crashed 3 workers

  # Guards against suspects that crash their next worker together, so that both stay suspected.
  Scenario: Tasks under which a worker crashed don't share the next worker
    Given 1 simulated workers whose tasks run 60000 ms
    And 2 jobs of 1 simulated tasks are submitted
    When 1 workers crash together 1 times, 4000 ms apart
    Then 1 simulated tasks run
    When 5000 ms pass
    Then 2 simulated tasks run

  # Guards against urgent work that waits since it may have crashed its worker.
  Scenario: Urgent work under which a worker crashed starts at once
    Given 1 simulated workers whose tasks run 60000 ms
    And 2 urgent jobs of 1 simulated tasks are submitted
    When 1 workers crash together 1 times, 4000 ms apart
    Then 2 simulated tasks run
