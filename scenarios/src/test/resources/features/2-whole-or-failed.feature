@holds-2
Feature: Every job ends complete or failed, never partial

  Scenario: An agent is killed with tasks running
    Given a cluster with 2 agents
    When job port of 20 tasks of 800 ms is submitted at server 1
    And at least 16 tasks of job port have started
    And agent-1 is killed
    Then every answer to port is failed

  Scenario: An agent is killed with tasks running and started again
    Given a cluster with 2 agents
    When job port of 20 tasks of 800 ms is submitted at server 1
    And at least 16 tasks of job port have started
    And agent-1 is killed
    And agent-1 is started again
    Then every answer to port is failed

  Scenario: An agent is frozen with tasks running and thawed before its lease expires
    Given a cluster with 2 agents
    When job port of 20 tasks of 300 ms is submitted at server 1
    And at least 16 tasks of job port have started
    And agent-1 is frozen
    And agent-1 is thawed
    Then every answer to port is complete

  Scenario: An agent is frozen until it is declared gone, then thawed
    Given a cluster with 2 agents
    When job port of 20 tasks of 300 ms is submitted at server 1
    And at least 16 tasks of job port have started
    And agent-1 is frozen
    Then agent-1 is GONE for everyone
    And every answer to port is failed
    When agent-1 is thawed
    Then agent-1 is LIVE for everyone

  Scenario: The quorum is lost and restored while a job runs
    Given a cluster with 2 agents
    When job port of 20 tasks of 500 ms is submitted at server 1
    And at least 10 tasks of job port have started
    And server-2 is killed
    And server-3 is killed
    And server-2 is started again
    And server-3 is started again
    Then job port ends complete or failed
    And every caller has received an answer

  Scenario: A task that fails at the backend server fails its job
    Given a cluster with 1 agent
    When request doomed that must not be repeated and fails at the backend server is sent to server 1
    Then every answer to doomed is failed
    And job doomed has started 1 task
