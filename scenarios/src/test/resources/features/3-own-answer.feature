@holds-3
Feature: Each caller receives the whole answer to its own request

  Scenario: Answers arrive out of order over slow links
    Given a cluster with 3 agents
    When every link has a delay of 2 ms in each direction
    And 30 jobs named cross of 5 tasks of 200 ms are submitted at every server
    And 30 repeatable requests of 20 ms are sent to server 2
    Then every answer is complete

  Scenario: Answers arrive late, after their link was cut
    Given a cluster with 2 agents
    When job late of 16 tasks of 300 ms is submitted at server 1
    And at least 16 tasks of job late have started
    And every link to agent-1 is cut
    And job next of 4 tasks of 50 ms is submitted at server 1
    And job next has ended
    And every link is healed
    Then every answer is complete
    And job late has started 16 tasks
