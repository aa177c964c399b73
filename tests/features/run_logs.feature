Feature: The logs tell why a run counts as over

  # Guards against incidents whose logs can't tell a proven end of a run from an assumed one.
  Scenario Outline: A run that is started again is checked against the proof of the first one's end
    Given logs of a run that was started by one agent and counts as over by "<proof>"
    When the logs show that another agent starts the task <when> that
    Then the check of the logs finds <overlaps> overlapping runs

    Examples:
      | proof              | when   | overlaps |
      | endListed          | after  | 0        |
      | notListed          | after  | 0        |
      | stopAnswered       | after  | 0        |
      | leasesExpired      | after  | 0        |
      | otherIncarnation   | after  | 0        |
      | otherIncarnation   | before | 1        |
      | endListed          | before | 1        |
      | deregistered       | after  | 1        |
      | connectionsRefused | after  | 1        |
      | contactTimeout     | after  | 1        |

  Scenario: Lines of the bench follow a time and the name of an instance
    Given logs of a run that was started by one agent and counts as over by "endListed"
    When each line follows a time and the name of an instance
    And the logs show that another agent starts the task after that
    Then the check of the logs finds 0 overlapping runs

  # Guards against ends of runs whose cause, a list overtaken by a newer one, is not logged.
  Scenario: The removal of a run tells that its list was overtaken
    Given a run that was ordered at 1000 ms and listed as running by a list requested at 1200 ms
    When a list without the run arrives that was requested at 1100 ms
    Then any conclusion on the run tells that its list was overtaken by 100 ms

  Scenario: The removal of a run tells that its list was the newest
    Given a run that was ordered at 1000 ms and listed as running by a list requested at 1200 ms
    When a list without the run arrives that was requested at 1300 ms
    Then the run is concluded to be over by a list that was not overtaken

  # Guards against deregistrations that leave no trace, or that count as the end of the runs.
  Scenario: An agent logs what it knows of a worker that deregisters
    Given an agent that logs, with a worker
    When two heartbeats of an older incarnation arrive
    And the worker deregisters
    Then the agent has logged one heartbeat of the other incarnation
    And the agent has logged the deregistration of a worker that it knows
    And the agent has concluded nothing about its runs
