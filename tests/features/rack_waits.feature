Feature: Work that runs slower off its rack waits for the rack, but not for long beside idle workers

  # Guards against work that has nothing running for longer than 3 s beside idle workers.
  Scenario Outline: Long work waits for its rack beside idle workers
    Given 8 workers on 4 racks, of which the first is full of other work
    When other work of <run> ms comes whose data is on the full rack
    Then it has not started after <waits> ms
    And it starts within 1500 ms

    Examples:
      | run   | waits |
      | 60000 | 1500  |
      | 2000  | 500   |

  # Guards against guaranteed work that does not begin within the 2.7 s that it is promised.
  Scenario: Guaranteed work waits for its rack
    Given 8 workers on 4 racks, of which the first is full of guaranteed work
    When guaranteed work of 10000 ms comes whose data is on the full rack
    Then it starts within 2700 ms

  # Guards against a service without accelerators that always counts as idle.
  Scenario: Work waits longer for its rack while most processors are in use
    Given 8 workers without accelerators on 4 racks, of which all but one are full of other work
    When other work of 10000 ms comes whose data is on the full rack
    Then it has not started after 3000 ms
