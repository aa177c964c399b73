Feature: A job that was cancelled before it was stored does not run

  # Guards against a job that is stored and run after its cancellation was acknowledged.
  Scenario: A submission is carried out after the cancellation of its job
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the store will apply the next submission late
    When a client submits a job, gets no answer and cancels the job at the other gate
    Then the job is stored as cancelled, and no task of it has started

  # Guards against a leader that drops such a cancellation when it takes over.
  Scenario: A client submits its job again after it was cancelled, at another leader
    Given 3 gates and 2 agents whose tasks run 300 ms
    When a client cancels a job that is not stored
    And the leader crashes
    And another gate leads
    And the client submits the job
    Then the job is stored as cancelled, and no task of it has started

  Scenario: A job that was cancelled and never submitted is shown to nobody
    Given 2 gates and 2 agents whose tasks run 300 ms
    When a client cancels a job that is not stored
    And the client cancels it again
    Then every gate knows no such job

  # Guards against callers that fill the store with cancellations of unknown jobs.
  Scenario: Cancellations of jobs that never come are removed
    Given ended jobs are kept for 300 ms
    And 2 gates and 2 agents whose tasks run 300 ms
    When a client cancels 120 jobs that are not stored
    Then all of their rows are removed from the store

  # Guards against gates whose memory grows with each cancellation of an unknown job.
  Scenario: A gate's copy of the rows forgets a job with its cancellation
    Given a copy of the rows with a cancellation of a job that never came
    When the cancellation is removed from the store
    Then the copy holds no job

  # Guards against a cancellation that is removed while its job is being stored.
  Scenario: A job that is stored late keeps its cancellation
    Given a leader to which a cancellation looks like that of a job that never came
    But the job has just been stored
    When the leader removes such cancellations
    Then the cancellation is still stored
    And the leader does not try again
