@holds-1
Feature: No task of a submission starts twice

  Scenario: The owning entry is killed before its job is admitted
    Given a cluster with 2 agents
    When server-1 is frozen
    And server-3 is frozen
    And job port of 6 tasks of 100 ms is submitted at server 2
    And server-2 is killed
    And server-1 is thawed
    And server-3 is thawed
    And job port is resubmitted at a ready server
    Then job port ends complete
    And job port has started 6 tasks

  Scenario: The owning entry is killed after its job is admitted
    Given a cluster with 2 agents
    When agent-1 is frozen
    And agent-2 is frozen
    And job port of 6 tasks of 100 ms is submitted at server 2
    And job port has been admitted
    And server-2 is killed
    And agent-1 is thawed
    And agent-2 is thawed
    And job port is resubmitted at a ready server
    Then job port ends complete or failed
    And every caller has received an answer

  Scenario: The owning entry is killed after some tasks have started
    Given a cluster with 2 agents
    When job port of 40 tasks of 300 ms is submitted at server 2
    And at least 10 tasks of job port have started
    And server-2 is killed
    And job port is resubmitted at a ready server
    Then job port ends complete
    And job port has started 40 tasks
    And every caller has received an answer

  Scenario: The owning entry is killed after all results, before the outcome is committed
    Given a cluster with 2 agents
    When job port of 10 tasks of 700 ms is submitted at server 2
    And at least 10 tasks of job port have started
    And server-1 is frozen
    And server-3 is frozen
    And the backend servers have answered every task of job port
    And server-2 is killed
    And server-1 is thawed
    And server-3 is thawed
    And job port is resubmitted at a ready server
    Then job port ends complete
    And job port has started 10 tasks

  Scenario: The owning entry is killed after the outcome is committed
    Given a cluster with 2 agents
    When job port of 10 tasks of 50 ms is submitted at server 2
    And job port has ended
    And server-2 is killed
    And job port is resubmitted at a ready server
    Then every caller has received an answer
    And job port ends complete
    And job port has started 10 tasks

  Scenario: The same job is submitted at every entry at once
    Given a cluster with 2 agents
    When job port of 20 tasks of 100 ms is submitted at server 1
    And job port is resubmitted at server 2
    And job port is resubmitted at server 3
    And job port is resubmitted at server 1
    Then every answer to port is complete
    And job port has started 20 tasks

  Scenario: The owning entry is frozen until its lease has expired, then thawed
    Given a cluster with 2 agents
    When job port of 60 tasks of 200 ms is submitted at server 2
    And at least 10 tasks of job port have started
    And server-2 is frozen
    And server-2 has been declared gone
    And job port is resubmitted at a ready server
    And server-2 is thawed
    Then every answer to port is complete
    And job port has started 60 tasks

  Scenario: The log leader is killed while a job runs
    Given a cluster with 2 agents
    When job port of 40 tasks of 200 ms is submitted at server 1
    And at least 5 tasks of job port have started
    And the leader is killed
    And job port is resubmitted at a ready server
    Then job port ends complete
    And job port has started 40 tasks
