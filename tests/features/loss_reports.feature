Feature: What an agent reported as lost does not start any more

  # Guards against a start that the agent still holds when it reports its worker as lost.
  Scenario: A worker hangs, is reported as lost and answers again while its agent holds a start
    Given an agent with an idle worker and leases of 1000 ms
    When the worker hangs, and run 1 is ordered 500 ms after its last answer
    And the worker answers again as soon as the leader hears that it is lost
    Then run 1 is refused, and its start is not sent again

  # Guards against a start that was on its way when the agent reported its worker as lost.
  Scenario: A start arrives after the agent has reported its worker as lost
    Given an agent with an idle worker and leases of 1000 ms
    When the leader sends run 1 just before it hears that the worker is lost
    And the worker hangs
    And the worker answers again as soon as the leader hears that it is lost
    Then run 1 is refused, and the worker gets no start
    And run 2, which the leader orders after that, is started

  # Guards against starts that wait although the leader has applied the loss.
  Scenario: A worker is reported as lost, and a start is ordered at its first inventory after that
    Given an agent with an idle worker and leases of 1000 ms
    When the leader sends run 2 at the first inventory after a loss
    And the worker hangs
    And the worker answers again as soon as the leader hears that it is lost
    Then run 2 is started

  # Guards against a loss without a leader that is reported after the worker has started new runs.
  Scenario: A worker is lost while there is no leader, and its next silence is reported
    Given an agent with an idle worker and leases of 3000 ms
    When there is no leader, and the worker hangs for 4000 ms
    And the worker answers again, has a run and hangs for 3000 ms
    And there is a leader again
    Then the worker is not reported as lost

  # Guards against a start that outlives the leader's conclusion from the agent's silence.
  Scenario: An instance is suspended while its agent holds a start
    Given an agent with an idle worker and leases of 1000 ms
    When the worker hangs, and run 1 is ordered 500 ms after its last answer
    And the instance is suspended for 20000 ms
    And the agent reports to the leader, and the worker answers again
    Then run 1 is refused, and its start is not sent again

  # Guards against a start of before a loss that the leader sends after it has answered the report.
  Scenario: A leader repeats a start and hears in the same turn that the worker is lost
    Given a leader that has ordered a start which the worker does not list
    When it gets an inventory, and in the same turn a report that the worker is lost
    Then it sends no start
