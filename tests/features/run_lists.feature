Feature: Runs on a worker are known from lists that can overtake each other

  # Guards against a running task that is started again elsewhere because an old list lacks it.
  Scenario Outline: A list that is older than a run does not end it
    Given a run whose start was sent at 100 ms <confirmed>
    And a list requested at 50 ms that arrives at 300 ms and shows the run
    When a list requested at <requestedMs> ms that lacks the run arrives at 320 ms
    Then the run <outcome>

    Examples:
      | confirmed               | requestedMs | outcome        |
      | and is not answered     | 200         | is still there |
      | and is not answered     | 310         | is gone        |
      | and confirmed at 250 ms | 200         | is still there |
      | by an earlier process   | 200         | is still there |
      | by an earlier process   | 310         | is gone        |
