Feature: Expected run times follow the runs of a queue, whatever their callers declare

  # Guards against a run time that is missing or far too short and lengthens all later waits.
  Scenario Outline: A neighbour in the queue declares its run time wrongly
    Given a job of 4000 ms that declares <declared> ms has ended
    When a job that declares 5000 ms is expected to run
    Then it is expected to take <least> to <most> ms

    Examples:
      | declared | least | most  |
      | 0        | 5000  | 5000  |
      | 5        | 5000  | 10000 |
      | 4000     | 5000  | 5000  |

  Scenario: The declared run times of a queue are all far too short
    Given 20 jobs of 4000 ms that declare 5 ms have ended
    When a job that declares 10 ms is expected to run
    Then it is expected to take 7000 to 9000 ms

  Scenario: A job that declares no run time is expected to take as long as others of its queue
    Given 20 jobs of 4000 ms that declare 4000 ms have ended
    When a job that declares 0 ms is expected to run
    Then it is expected to take 4000 to 4000 ms
