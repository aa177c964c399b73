Feature: Objectives of jobs that failed once, or that a new leader took over

  # Guards against a retry that counts as late although its objective includes the failed run.
  Scenario Outline: The time of failed runs moves the objective
    Given an urgent job of 2000 ms that arrived 3000 ms ago and whose run has failed <failures> times
    When a leader that has no room for it considers preemption
    Then the objective was <ago> ms ago, and it <preempts>

    Examples:
      | failures | ago   | preempts         |
      | 0        | -250  | preempts nothing |
      | 1        | -3250 | preempts a run   |

  # Guards against late work that a new leader takes for new, and places before work that can still be in time.
  Scenario: A takeover does not move the objectives of jobs
    Given a stored job that was accepted 100 s ago and whose task was stopped
    When a new leader has room for one task, and another job is accepted
    Then it places the task of the other job
