Feature: The specifications hold in every state

  Scenario: Every model holds and every weakened rule is caught
    Then all models pass, and each weakened one is caught
