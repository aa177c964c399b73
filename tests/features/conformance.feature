Feature: The state machines match their reference implementations and models

  Scenario: Without faults, outcomes match the reference implementation
    Then 200 random histories without faults match the reference implementation

  Scenario: Under faults, every reported outcome is true
    Then 1500 random histories with faults report no false outcome

  Scenario: Job engines record and order what the run model specifies
    Then 3000 random paths through the run model are matched by real job engines

  Scenario: Table versions never decrease
    Then 300 random orders of deltas, whole tables and offers end at the newest version
