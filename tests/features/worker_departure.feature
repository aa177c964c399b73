Feature: A worker that left is told from one that does not answer

  # Guards against runs that are started again while the first ones are still alive.
  Scenario Outline: A worker that refuses connections has left only if it announced its end
    Given a worker that <announces>
    When it <answers> calls from 2000 ms to <untilMs> ms
    Then it <has left>

    Examples:
      | announces                         | answers  | untilMs | has left     |
      | announced its end within 1500 ms  | refuses  | 3000    | has left     |
      | announced its end within 1500 ms  | refuses  | 2900    | has not left |
      | announced its end within 30000 ms | refuses  | 9000    | has not left |
      | announced its end within 1500 ms  | ignores  | 9000    | has not left |
      | announced no end                  | refuses  | 9000    | has not left |
      | took back that it ends            | refuses  | 9000    | has not left |

  Scenario: A worker that answers between refused calls has not left
    Given a worker that announced its end within 1500 ms
    When it refuses calls from 2000 ms to 2900 ms
    And it ignores calls from 2900 ms to 3000 ms
    And it refuses calls from 3000 ms to 3900 ms
    Then it has not left

  # Guards against placements on a worker that is known to be gone.
  Scenario: A late inventory of a worker that left is ignored
    Given a new leader that read that a worker left
    When an inventory of that worker arrives late
    Then nothing is placed on it
