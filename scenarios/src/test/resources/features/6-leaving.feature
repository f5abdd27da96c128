@holds-6
Feature: A backend server that is leaving receives no new work

  Scenario: An agent is told to stop while the list still shows it live
    Given a cluster with 2 agents
    When the platform lists agent-1 as live
    And job before of 8 tasks of 400 ms is submitted at server 1
    And at least 8 tasks of job before have started
    And agent-1 is told to stop
    Then agent-1 is DRAINING for everyone
    When job after of 20 tasks of 20 ms is submitted at server 2
    Then every answer is complete
    And no task of job after starts at agent-1
    And agent-1 ends with exit code 0

  Scenario: An operator drains an agent
    Given a cluster with 2 agents
    When an operator drains agent-1
    Then agent-1 is DRAINING for everyone
    When job after of 20 tasks of 20 ms is submitted at server 2
    Then every answer to after is complete
    And no task of job after starts at agent-1

  Scenario: The platform lists an agent as leaving, then as live again
    Given a cluster with 2 agents
    When the platform lists agent-2 as leaving
    Then agent-2 is DRAINING for everyone
    When job after of 20 tasks of 20 ms is submitted at server 2
    Then every answer to after is complete
    And no task of job after starts at agent-2
    When the platform lists agent-2 as live
    Then agent-2 is LIVE for everyone

  Scenario: An operator evacuates an availability zone and restores it
    Given a cluster with 2 agents
    When an operator evacuates zone-1
    Then agent-1 is DRAINING for everyone
    When an operator evacuates zone-1
    And job after of 20 tasks of 20 ms is submitted at server 2
    Then every answer to after is complete
    And no task of job after starts at agent-1
    When an operator restores zone-1
    Then agent-1 is LIVE for everyone
