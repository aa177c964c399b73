Feature: A failed run of a gang counts once, whichever leader hears of it

  # Guards against a second count of a run by a leader that took over between two ends of it.
  Scenario: A leader takes over between the failures of two members of one run
    Given a gang of 2 tasks with 2 attempts in run 1
    When member 0 fails, and the leader commits that
    And another leader takes over
    And member 1 fails, and the leader commits that
    Then the gang has failed once, and its job goes on

  # Guards against a second count where neither end was committed by the earlier leader.
  Scenario: A leader takes over before the failure of the first member is committed
    Given a gang of 2 tasks with 2 attempts in run 1
    When member 0 fails
    And another leader takes over
    And member 0 fails
    And member 1 fails, and the leader commits that
    Then the gang has failed once, and its job goes on

  # Guards against a lost count: a later run counts by itself, after a takeover as well.
  Scenario: Two runs of a gang fail, and a leader takes over within each
    Given a gang of 2 tasks with 2 attempts in run 1
    When member 0 fails, and the leader commits that
    And another leader takes over
    And member 1 is broken, and the gang is in run 2
    And another leader takes over
    And member 1 fails, and the leader commits that
    Then the job has failed

  # Guards against a second count by members whose records lie in another row of the store.
  Scenario Outline: A leader commits one of two rows of a gang, and another one takes over
    Given a gang of 257 tasks with 2 attempts in run 1
    When members 0 and 256 fail, and the leader commits only row <row>
    And another leader takes over
    And members 0 and 256 fail, and the leader commits that
    And member 1 fails, and the leader commits that
    Then the gang has failed once, and its job goes on

    Examples:
      | row |
      | 0   |
      | 1   |

  # Guards against a second count by a leader that reads the rows of an earlier version.
  Scenario: A leader of an earlier version counted the failure in the records of both members
    Given a gang of 2 tasks with 2 attempts in run 1
    When member 0 fails, and a leader of an earlier version commits that
    And another leader takes over
    And member 1 fails, and the leader commits that
    Then the gang has failed once, and its job goes on
