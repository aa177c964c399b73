Feature: The number of waiting jobs counts each job until a worker has started one of its tasks

  # Guards against jobs that are placed on a lost worker and are left out of the waiting jobs.
  Scenario: A job that is placed but not started is waiting
    Given a leader with one worker
    When a job of 2 tasks is accepted and placed
    Then the gates count 1 waiting job, which is pending
    When the worker reports that the first task is being started
    Then the gates count 1 waiting job, which is pending
    When the worker reports that the first task is running
    Then the gates count 0 waiting jobs, and the job is running

  Scenario Outline: What shows that a job has started
    Given a leader with one worker
    When a job of 2 tasks is accepted and placed
    And <what>
    Then the gates count <waiting> waiting jobs
    And a leader that takes over counts <waiting> waiting jobs

    Examples:
      | what                                                          | waiting |
      | the start of the first task is refused                        | 1       |
      | the worker is lost                                            | 1       |
      | the worker reports that the first task is done                | 0       |
      | the worker reports that the first task was stopped            | 0       |
      | the first task runs, and the worker is lost                   | 0       |
      | the job is cancelled                                          | 0       |

  # Guards against a gate that looks up a job which its copy of the rows does not contain yet.
  Scenario: A gate reads the state of a job that it does not know from the store
    Given a leader with one worker
    When a job of 2 tasks is accepted and placed
    Then a gate without a copy of its rows reads that it is pending
    When the worker reports that the first task is running
    Then a gate without a copy of its rows reads that it is running

  # Guards against store writes that busy days would pay for.
  Scenario: The first start of a job is stored with the next commit and causes none
    Given a leader with one worker
    When a job of 2 tasks is accepted and placed
    And the worker reports that the first task is running
    Then there is nothing to commit
    But a commit that is due writes 1 row

  # Guards against a count that changes while gates of two versions run.
  Scenario: A task record of an earlier version counts from its placement
    Given a stored task record of an earlier version with run 1
    Then the gates count 0 waiting jobs
