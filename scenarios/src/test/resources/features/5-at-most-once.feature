@holds-5
Feature: A request that must not be repeated runs at most once

  Scenario: A running request is resent to every entry, and its entry is killed
    Given a cluster with 2 agents
    When request mint of 500 ms that must not be repeated is sent to server 2
    And at least 1 task of job mint has started
    And request mint of 500 ms that must not be repeated is sent to server 1
    And request mint of 500 ms that must not be repeated is sent to server 3
    And server-2 is killed
    Then job mint ends complete
    And every caller has received an answer
    And job mint has started 1 task

  Scenario: The agent that runs a request is killed
    Given a cluster with 2 agents
    When request mint of 900 ms that must not be repeated is sent to server 1
    And at least 1 task of job mint has started
    And agent-1 is killed
    And agent-2 is killed
    And agent-1 is started again
    And agent-2 is started again
    Then every answer to mint is failed
    And job mint has started 1 task

  Scenario: The log leader is frozen until its lease has expired while a request is admitted
    Given a cluster with 2 agents
    When the leader is frozen
    And request mint of 50 ms that must not be repeated is sent to server 1
    And request mint of 50 ms that must not be repeated is sent to server 2
    And request mint of 50 ms that must not be repeated is sent to server 3
    And the leader has been declared gone
    And the leader is thawed
    Then every caller of request mint ends complete after retries
    And job mint has started 1 task
