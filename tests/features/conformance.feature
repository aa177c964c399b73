Feature: The machines behave as a naive version does, whatever the faults

  Scenario: Without faults, the outcomes are those of the naive version
    Then 200 random histories without faults end as in the naive version

  Scenario: Under faults, what was told is true
    Then 1500 random histories with faults tell the truth

  Scenario: Engines record and order what the specification of runs says
    Then 3000 random ways through the specification of runs are followed by real engines

  Scenario: Tables only move to higher versions
    Then 300 random orders of deltas, whole tables and offers end at the newest version

