Feature: A process that stops gracefully answers the requests that it has received

  # Guards against: a gate stopped listening in a short gap between two requests.
  Scenario: A caller that does not know yet that the gate stops gets answers
    Given a system of 1 gates and 0 instances
    When a caller sends requests on new connections for 3 seconds
    And gate 1 is shut down
    Then every request was answered
    And the process exited with code 0

  # Guards against: a connection without a request kept the process from exiting.
  Scenario Outline: A connection on which no request was sent does not delay an exit
    Given a system of 1 gates and 1 instances
    When a client opens a connection to <process> 1 and sends nothing
    And <process> 1 is shut down
    Then the process exited with code 0

    Examples:
      | process |
      | gate    |
      | agent   |

  # Guards against: a repeated signal ended the gate before its requests were answered.
  Scenario: A gate that is told to stop twice answers its requests
    Given a system of 1 gates and 1 instances
    When a pitch check is running
    And gate 1 is shut down by SIGTERM, SIGTERM, SIGINT
    Then the process exited with code 0
    And the first caller receives "done" with its own answer

  # Guards against: a request that an agent had not read as it stopped ended as unknown.
  Scenario: A fit that is sent to an agent as it stops runs on the agent that follows
    Given a system of 1 gates and 1 instances
    When gate 1 is paused
    And a fit is sent on an open connection of gate 1
    And agent 1 is shut down
    And gate 1 is resumed
    And agent 1 is started again
    Then the fit has the response status 200
