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
