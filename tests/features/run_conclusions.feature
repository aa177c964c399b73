Feature: A conclusion that a run is over rests on what proves it

  # Guards against a run that counts as stopped although the next incarnation may still start it.
  Scenario: A restarted worker executes a late start of a run that was stopped before
    Given 1 gates and 1 agents whose tasks run 4000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When 1 jobs of 1 tasks are submitted
    And the worker has got a start
    And another agent joins
    And 1 tasks are running
    And the worker restarts with the same id and executes at once the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a duplicate start that the next incarnation executes after the task is done.
  Scenario: A restarted worker executes a late start of a done task before its agent calls it
    Given 1 gates and 1 agents whose tasks run 300 ms
    And the worker holds back the next start
    When 1 jobs of 1 tasks are submitted and run to their end
    And the worker restarts with the same id and executes at once the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated
    And no task was started twice

  # Guards against lease expiry as proof although the next incarnation may still execute a start.
  Scenario: A worker falls silent, its leases run out, and its next incarnation executes a late start
    Given 1 gates and 1 agents whose tasks run 4000 ms
    And the worker holds back starts, and takes 500 ms to stop a run
    When 1 jobs of 1 tasks are submitted
    And the worker has got a start
    And another agent joins
    And the worker falls silent until its runs are placed elsewhere
    And the worker restarts with the same id and executes at once the starts that it held back
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against runs that nobody ends when the next incarnation is lost before it is heard.
  Scenario: A restarted worker terminates for good before its first heartbeat
    Given 1 gates and 1 agents whose tasks run 1500 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker restarts with the same id and terminates for good 500 ms later without a heartbeat
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against runs that nobody ends when a worker is lost while its agent restarts.
  Scenario: A worker terminates for good while its agent restarts
    Given 1 gates and 1 agents whose tasks run 1500 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker terminates for good and the agent is restarted
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a late report of an earlier link that ends the runs of the current incarnation.
  Scenario: The first message of an earlier link arrives after that of a later link
    Given an agent server with two links of one agent, opened one after the other
    When the later link delivers its first report, and then the earlier link its own
    Then only the report of the later link is applied

  # Guards against a stale inventory that ends the runs of the incarnation that is alive.
  Scenario: The leader gets an inventory of an earlier incarnation after that of a later one
    Given a leader that has placed a task on the later incarnation of a worker
    When it gets an inventory of the earlier incarnation
    Then the run on the later incarnation is not lost

  # Guards against an earlier process's start that the next incarnation still accepts.
  Scenario: An agent restarts after its wall clock stepped back
    Given fencing tokens of an agent process that has run for a while
    When a new process of the agent starts after the wall clock stepped back 60000 ms
    Then its token is higher than that of the earlier process

  # Guards against equal tokens of two processes within one second of the wall clock.
  Scenario: An agent restarts in the second in which its worker was silent twice
    Given fencing tokens of an agent process that were raised 2 times
    When a new process of the agent starts after the wall clock advanced 400 ms
    Then its token is higher than that of the earlier process

  # Guards against calls for a deposed leader that get past the token of its successor.
  Scenario: An agent that knows only an earlier epoch is rejected for a while
    Given fencing tokens of an agent process that has run for a while
    When the worker rejects them 40 times at epoch 1
    Then the token at epoch 1 is lower than any token at epoch 2

  # Guards against an end beyond the listed ones that counts as a run that is gone.
  Scenario: A run's end is beyond the 500 ends that a list contains
    Given 501 confirmed runs that have all ended as done
    When the worker lists the first 500 ends and no running task
    Then no run counts as gone

  # Guards against a refusal of a first order by an agent that does not know what ran before it.
  Scenario: A restarted agent gets a first order of a deposed leader for a run that is running
    Given a worker with a run that its agent started for epoch 2 before it was killed
    When the agent restarts, and a gate that still leads epoch 1 sends it the first order of that run
    And the agent then reports to the leader of epoch 2, of which it was told in the same turn
    Then it has not told that leader that the run never started

  # Guards against refused connections of a draining worker that count as its end.
  Scenario: A draining worker past its announced time refuses connections for a while and works on
    Given leases last 5000 ms
    And 1 gates and 1 agents whose tasks run 8000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, and 2500 ms later refuses connections for 2500 ms but works on
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against refused connections that count as the end of runs which could not be stopped.
  Scenario: A draining worker refuses connections before its runs are stopped and works on
    Given leases last 5000 ms
    And 1 gates and 1 agents whose tasks run 8000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, and 1000 ms later refuses connections for 3500 ms but works on
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against a refusal of a few polls that counts as the end of a worker that works on.
  Scenario: A worker gets no answer to its call to deregister, refuses connections for a moment and works on
    Given leases last 5000 ms
    And 1 gates and 1 agents whose tasks run 4000 ms
    When 1 jobs of 1 tasks are submitted
    And 1 tasks are running
    And another agent joins
    And the worker drains, deregisters without an answer, refuses connections for 1500 ms and works on
    Then all jobs are completed
    And no invariant of runs is violated
