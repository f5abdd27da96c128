@holds-8
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators change settings concurrently from the same base revision
    Given a cluster with 1 agent
    When operators at servers 1, 2 and 3 change taskTimeoutMs concurrently, each based on the same revision
    Then exactly one of them is accepted
    And revision 1 is in force at every server
    And the audit trail holds 1 accepted and 2 refused settings changes

  Scenario: Operators use the same change id concurrently
    Given a cluster with 1 agent
    When operators at servers 1, 2 and 3 make different changes of taskTimeoutMs under the same change id
    Then exactly one of them is accepted
    And revision 1 is in force at every server

  Scenario: A change whose answer was lost is sent again
    Given a cluster with 1 agent
    When an operator whose answer was lost resends the same change at every server
    Then every resend receives the same answer and the revision has increased by one to 1
    And revision 1 is in force at every server

  Scenario: The leader is isolated while hundreds of changes are accepted
    Given a cluster with 1 agent whose replicas take a snapshot every 100 entries
    When the leader is isolated from the network
    And the leader has been declared gone
    And 300 settings changes are made at a ready server
    And every link is healed
    Then revision 300 is in force at every server
    And all three replicas are voters

  Scenario: Inbound traffic to the leader is blocked
    Given a cluster with 1 agent
    When inbound traffic to the leader is blocked
    And another server is the leader
    And 3 settings changes are made at a ready server
    And every link is healed
    Then revision 3 is in force at every server

  Scenario: Outbound traffic from the leader is blocked
    Given a cluster with 1 agent
    When outbound traffic from the leader is blocked
    And the leader has been declared gone
    And 3 settings changes are made at a ready server
    And every link is healed
    Then revision 3 is in force at every server

  Scenario: A server without a fresh lease takes no work
    Given a cluster with 1 agent
    When server-3 is isolated from the network
    Then server-3 is not ready
    When every link is healed
    And every server and agent is ready again
    Then revision 0 is in force at every server

  Scenario: A process restarts after hundreds of changes
    Given a cluster with 1 agent whose replicas take a snapshot every 100 entries
    When server-3 is killed
    And 300 settings changes are made at a ready server
    And server-3 is started again
    Then revision 300 is in force at every server

  Scenario: A disk is lost, and a second box is killed right after the first has recovered
    Given a cluster with 1 agent
    When 5 settings changes are made at a ready server
    And the first follower loses its disk and is started again
    And every server and agent is ready again
    And all three replicas are voters
    And the leader is killed
    And an operator sets queueTasks to 77 at a ready server
    And the leader is started again
    Then revision 6 is in force at every server

  Scenario: All servers are killed and started again
    Given a cluster with 1 agent
    When 5 settings changes are made at a ready server
    And server-1 is killed
    And server-2 is killed
    And server-3 is killed
    And server-1 is started again
    And server-2 is started again
    And server-3 is started again
    Then revision 5 is in force at every server
