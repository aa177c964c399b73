Feature: A run is placed again only once its first start can no longer run

  # Guards against runs of a restarted worker that count as ended with the earlier incarnation.
  Scenario: A restarted worker executes a late start before its agent calls it
    Given 1 gates and 1 agents whose tasks run 3000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When a task is submitted that needs a worker of kind a
    And the worker has got a start
    And another agent joins
    And the worker restarts with the same id as kind b
    And it executes the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated
    And no task was started twice

  # Guards against a conclusion from the restart alone, before the worker has listed its runs.
  Scenario: A restarted worker executes a late start before its first heartbeat
    Given 1 gates and 1 agents whose tasks run 3000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When a task is submitted that needs a worker of kind a
    And the worker has got a start
    And another agent joins
    And the worker restarts with the same id as kind b
    And it executes the starts that it held back
    And its next heartbeat comes 2000 ms later
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against fencing tokens that are not higher for the next incarnation of a worker.
  Scenario: A restarted worker executes a late start while the task runs elsewhere
    Given 1 gates and 1 agents whose tasks run 3000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When a task is submitted that needs a worker of kind a
    And the worker has got a start
    And another agent joins
    And the worker restarts with the same id as kind b
    And the agent has received its lists
    And 1 tasks are running
    And it executes the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a task that runs again after its end was made durable.
  Scenario: A restarted worker executes a late start of a task that is done
    Given 1 gates and 1 agents whose tasks run 300 ms
    And the worker holds back the next start
    When 1 jobs of 1 tasks are submitted and run to their end
    And the worker restarts with the same id as kind a
    And the agent has received its lists
    And it executes the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated
    And no task was started twice

  # Guards against ends of a restarted worker that count as known from its earlier incarnation.
  Scenario: An agent acknowledges ends of the earlier incarnation to a restarted worker
    Given 1 gates and 1 agents whose tasks run 300 ms
    When 1 jobs of 2 tasks are submitted and run to their end
    And the worker restarts with the same id as kind a
    And its next heartbeat comes 2000 ms later
    And 1 jobs of 1 tasks are submitted
    Then all jobs are completed
    And no invariant of runs is violated
    And no task was started twice

  # Guards against a call to deregister that counts as the end of the worker.
  Scenario: A worker gets no answer to its call to deregister and works on
    Given 1 gates and 1 agents whose tasks run 4000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, deregisters and terminates 2500 ms later
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against work that waits for the leases of a worker that deregistered and is gone.
  Scenario: A worker deregisters and terminates at once
    Given leases last 120000 ms
    And 1 gates and 1 agents whose tasks run 600 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, deregisters and terminates 0 ms later
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against work that waits for the leases of a worker that leaves when it announced.
  Scenario: A worker drains and terminates without a word
    Given leases last 120000 ms
    And 1 gates and 1 agents whose tasks run 3000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains and terminates without a word at its announced end
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against an end that the agent has not read when it answers the deregistration.
  Scenario: A worker ends a run just before it deregisters
    Given 1 gates and 1 agents whose tasks run 6000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, ends its run, deregisters and terminates when it is answered
    Then all jobs are completed
    And no task was started twice

  # Guards against an end that only the agent knows when the worker and its instance are gone.
  Scenario: A worker ends a run just before it deregisters, while there is no leader
    Given another gate takes over only after 3000 ms
    And 2 gates and 1 agents whose tasks run 6000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the leader crashes
    And the worker drains, ends its run, deregisters and terminates when it is answered
    And its agent terminates
    Then all jobs are completed
    And no task was started twice

  # Guards against a listed end that is forgotten with the incarnation that listed it.
  Scenario: A worker lists the end of a run and crashes while there is no leader
    Given another gate takes over only after 3000 ms
    And 2 gates and 1 agents whose tasks run 800 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And the leader crashes
    And the worker has listed the end of its run and crashes
    Then all jobs are completed
    And no task was started twice

  # Guards against leases of the previous agent process that the next one does not wait for.
  Scenario: A worker falls silent after the first call of an agent that restarted without a leader
    Given leases last 5000 ms
    And another gate takes over only after 1500 ms
    And 2 gates and 1 agents whose tasks run 4500 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the leader crashes
    And the agent is restarted and gets one answer of the worker
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a refusal while a start of the previous agent process is unanswered.
  Scenario: A restarted agent repeats a start that is rejected but was sent before
    Given 1 gates and 1 agents whose tasks run 3000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When 1 jobs of 1 tasks are submitted
    And the worker has got a start
    And another agent joins
    And the agent is restarted and the worker has no room
    And 1 tasks are running
    And it executes the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a later incarnation that is taken for an older one and never used.
  Scenario: A worker restarts with an earlier start time
    Given 1 gates and 1 agents whose tasks run 800 ms
    When 1 jobs of 2 tasks are submitted
    And 2 tasks are running
    And the worker restarts with the same id and an earlier start time
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a successor that knows runs on the earlier incarnation and ignores the later.
  Scenario: A worker restarts with an earlier start time while there is no leader
    Given another gate takes over only after 3000 ms
    And 2 gates and 1 agents whose tasks run 800 ms
    When 1 jobs of 2 tasks are submitted
    And 2 tasks are running
    And the leader crashes
    And the worker restarts with the same id and an earlier start time
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against runs that are lost to a heartbeat of an incarnation that is gone.
  Scenario: A late heartbeat of an earlier incarnation has a later start time
    Given 1 gates and 1 agents whose tasks run 1500 ms
    When the worker restarts with the same id and an earlier start time
    And 1 jobs of 2 tasks are submitted
    And 2 tasks are running
    And a heartbeat of its earlier incarnation arrives late
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  # Guards against runs that are lost to a message that an older link delivers late.
  Scenario: A late inventory of an earlier incarnation ends no runs
    Given a leader that knows a run on a worker started at 2000 ms, whose earlier incarnation started at 1000 ms
    When an inventory of the earlier incarnation arrives late
    Then the run is not lost

  # Guards against a decision between two incarnations by a wall clock that was set back.
  Scenario: A late inventory of an earlier incarnation with a later start time ends no runs
    Given a leader that knows a run on a worker started at 1000 ms, whose earlier incarnation started at 2000 ms
    When an inventory of the earlier incarnation arrives late
    Then the run is not lost
