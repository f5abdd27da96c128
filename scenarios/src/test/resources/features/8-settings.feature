@holds-8
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race on the same base
    Given a cluster with 1 agents
    When operators at servers 1, 2 and 3 change taskTimeoutMs at once, each based on the same revision
    Then exactly one of them is accepted
    And revision 1 is in force at every server
    And the audit trail holds 1 accepted and 2 refused changes of settings

  Scenario: Operators race under the same change id
    Given a cluster with 1 agents
    When operators at servers 1, 2 and 3 make different changes of taskTimeoutMs under the same change id
    Then exactly one of them is accepted
    And revision 1 is in force at every server

  Scenario: A change whose answer was lost is sent again
    Given a cluster with 1 agents
    When an operator whose answer was lost resends the same change at every server
    Then every resend gets the same answer and the revision rose by one to 1
    And revision 1 is in force at every server

  Scenario: The leader is cut off for long while hundreds of changes go by
    Given a cluster with 1 agents whose replicas take a snapshot every 100 entries
    When the leader is cut off
    And the others notice that the leader is gone
    And 300 changes of settings are made at a ready server
    And every link heals
    Then revision 300 is in force at every server
    And all three replicas vote

  Scenario: Nothing reaches the leader
    Given a cluster with 1 agents
    When nothing reaches the leader any more, but it can send
    And another server leads
    And 3 changes of settings are made at a ready server
    And every link heals
    Then revision 3 is in force at every server

  Scenario: Nothing that the leader sends arrives
    Given a cluster with 1 agents
    When nothing that the leader sends arrives any more
    And the others notice that the leader is gone
    And 3 changes of settings are made at a ready server
    And every link heals
    Then revision 3 is in force at every server

  Scenario: A server without a fresh lease takes no work
    Given a cluster with 1 agents
    When server-3 is cut off
    Then server-3 is not ready
    When every link heals
    And everything is ready again
    Then revision 0 is in force at every server

  Scenario: A process restarts after hundreds of changes
    Given a cluster with 1 agents whose replicas take a snapshot every 100 entries
    When server-3 is killed
    And 300 changes of settings are made at a ready server
    And server-3 is started again
    Then revision 300 is in force at every server

  Scenario: A disk is lost, and a second box is killed right after the first is back
    Given a cluster with 1 agents
    When 5 changes of settings are made at a ready server
    And the disk of the first follower is lost and it is started again
    And everything is ready again
    And all three replicas vote
    And the leader is killed
    And an operator sets queueTasks to 77 at a ready server
    And the leader is started again
    Then revision 6 is in force at every server

  Scenario: All servers are killed and started again
    Given a cluster with 1 agents
    When 5 changes of settings are made at a ready server
    And server-1 is killed
    And server-2 is killed
    And server-3 is killed
    And server-1 is started again
    And server-2 is started again
    And server-3 is started again
    Then revision 5 is in force at every server
