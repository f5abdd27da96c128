@holds-7
Feature: A planned stop interrupts no request in flight

  Scenario: A server is told to stop under load
    Given a cluster with 2 agents
    When 10 jobs named load of 8 tasks of 900 ms are submitted at every server
    And 10 repeatable requests of 200 ms are sent to server 2
    And job long of 4 tasks of 5000 ms is submitted at server 2
    And at least 1 task of job load1 has started
    And at least 4 tasks of job long have started
    And server-2 is told to stop
    Then every answer is complete
    And server-2 ends with exit code 0
    And the log of server-2 contains event=leaseGained
    And the log of server-2 contains event=entryStopped entry=server-2 settled=true
    And server-2 is GONE for everyone

  Scenario: The log leader is told to stop under load
    Given a cluster with 2 agents
    When 10 jobs named load of 8 tasks of 300 ms are submitted at every server
    And at least 1 task of job load0 has started
    And the leader is told to stop
    Then every answer is complete

  Scenario: An agent is told to stop under load
    Given a cluster with 2 agents
    When 10 jobs named load of 8 tasks of 300 ms are submitted at every server
    And at least 8 tasks of job load0 have started
    And agent-1 is told to stop
    Then every answer is complete
    And agent-1 ends with exit code 0
    And the log of agent-1 contains event=agentStopped agent=agent-1 settled=true
