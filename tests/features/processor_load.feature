Feature: Work per event does not grow with the fleet or with the backlog

  # Guards against gates that are not ready since two polls of a slow store take too long.
  Scenario Outline: A store that responds slowly is asked to wait less for changes
    Given a store that responds <latencyMs> ms later than it is asked to wait
    Then two polls in a row take at most <mostMs> ms
    And a poll asks it to wait <waitMs> ms

    Examples:
      | latencyMs | mostMs | waitMs |
      | 4         | 1300   | 500    |
      | 370       | 1300   | 280    |
      | 900       | 2000   | 100    |

  # Guards against agents that report the same content to the leader several times in an interval.
  Scenario: A report because of a change replaces the next periodic one
    Given reports to each gate at least every 500 ms
    When a change is reported to the first of 2 gates after 400 ms
    Then after 500 ms a report is due to the second gate only
    And after 900 ms reports are due to both gates

  # Guards against reports to the leader for each heartbeat of an unchanged worker.
  Scenario: A heartbeat without a change is not reported
    Given an agent with a worker that was reported
    Then a heartbeat with the same content contains nothing new
    But a heartbeat of the draining worker does

  # Guards against a system call for each log line of a busy process.
  Scenario: Log lines of a short interval share one write
    Given an output of log lines
    When 100 lines are added
    Then they are written in order by 1 write

  # Guards against the last lines of a process that are lost as it exits.
  Scenario: Log lines that are still queued are written when the process exits
    Given an output of log lines
    When 3 lines are added and the process exits
    Then they are in the output

  # Guards against a scan of all workers for each report of an agent.
  Scenario: An inventory takes the same number of operations in a fleet of any size
    Then the inventory of one of 200 workers visits as many entries as that of one of 10
