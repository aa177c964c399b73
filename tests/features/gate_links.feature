Feature: The links of an agent do not grow with the number of gates

  # Guards against links that grow with agents times gates, and uneven shares of them.
  Scenario: Agents spread their standby links over the gates
    Given 160 agents that know 35 gates
    Then each agent selects links to 3 gates
    And no gate is selected by more than 32 agents

  # Guards against a full list of known gates that leaves out the leader.
  Scenario: Every agent selects the leader, whichever gate leads
    Given 160 agents that know 35 gates
    Then each agent selects the leader first as each of the gates leads in turn

  # Guards against standby links to gates that are gone.
  Scenario: Links to lost gates are replaced
    Given 160 agents that know 35 gates
    When 30 of the gates are lost
    Then each agent selects links to 3 gates that are left

  # Guards against agents that forget all gates while all of them are down.
  Scenario: Gates that were all down for long are found again
    Given 160 agents that know 35 gates
    When all gates are lost for 60000 ms
    Then each agent still selects its seed gates

  # Guards against lists of all gates that are sent whenever one gate renews its row.
  Scenario: Agents get the list of gates only when an address changes
    Given a gate that knows 35 gates
    Then its list of addresses stays the same while they renew their rows
    And its list of addresses is replaced when a gate moves, joins or leaves

  # Guards against gates that scale with the fleet although they do not lead.
  Scenario: Only the leader gets the inventories of agents
    Given 6 gates and 4 agents whose tasks run 1500 ms
    When 4 jobs of 2 tasks are submitted
    And 8 tasks are running
    Then gates that do not lead have received no reports

  # Guards against runs that are lost to a message that an older link delivers late.
  Scenario: What an earlier link of an agent still delivers is dropped
    Given a gate with two links from one agent
    When the agent reports on the second link
    And it reports on the first link
    And it reports on the second link
    Then the gate has received the reports of the second link only
