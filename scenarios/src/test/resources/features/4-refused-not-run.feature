@holds-4
Feature: Refused submissions are not run

  Scenario: A deadline that can't be met is refused at once
    Given a cluster with 1 agent
    When job warm of 16 tasks of 100 ms is submitted at server 1
    And job warm has ended
    And job busy of 64 tasks of 200 ms is submitted at server 1
    And at least 8 tasks of job busy have started
    And job urgent of 8 tasks of 50 ms and a deadline of 200 ms is submitted at server 1
    Then every answer to urgent is refused
    And the answer to urgent says when to retry
    And job urgent has started 0 tasks
    And every answer to busy is complete

  Scenario: A resubmission does not hear "not run" of a job that runs
    Given a cluster with 1 agent
    When job warm of 16 tasks of 100 ms is submitted at server 1
    And job warm has ended
    And job busy of 40 tasks of 200 ms is submitted at server 1
    And at least 8 tasks of job busy have started
    And an operator sets enabled to false at server 1
    And revision 1 is in force at every server
    And job busy is resubmitted at server 2
    And job new of 1 task of 1 ms is submitted at server 2
    Then every answer to busy is complete
    And every answer to new is refused
    And the answer to new has the cause DISABLED

  Scenario: A resubmission with another payload, and a submission older than the retention time
    Given a cluster with 1 agent
    When job port of 4 tasks of 50 ms is submitted at server 1
    And job port has ended
    And job port is resubmitted with another payload at server 2
    And job old submitted 700000 ms ago is submitted at server 3
    Then every answer to other-port is refused
    And the answer to other-port has the cause CONFLICT
    And job intruder has started 0 tasks
    And every answer to old is refused
    And the answer to old has the cause TOO_OLD
    And job old has started 0 tasks

  Scenario: No worker takes work
    Given a cluster with 1 agent
    When an operator drains agent-1
    Then agent-1 is DRAINING for everyone
    When job port of 4 tasks of 50 ms is submitted at server 1
    Then every caller has received an answer
    And job port has started 0 tasks
