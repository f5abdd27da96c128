package io.hingehoist.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.hingehoist.cluster.LocalCluster;
import io.hingehoist.cluster.NodeProcess;
import io.hingehoist.standin.Relay;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Steps that change or check processes, disks and network links. */
public final class ClusterSteps {
  private final ScenarioContext context = CurrentScenario.context();
  private int leaderNumber;

  @Given("a cluster with {int} agent(s)")
  public void createCluster(int agents) throws IOException {
    context.create(agents, Map.of());
  }

  @Given("a cluster with {int} agent(s) whose replicas take a snapshot every {int} entries")
  public void createClusterWithSnapshots(int agents, int entries) throws IOException {
    context.create(agents, Map.of("snapshotEntries", String.valueOf(entries)));
  }

  /** Checks the invariants unless the scenario has failed, and closes the cluster. */
  @After
  public void checkAndClose(Scenario scenario) throws IOException {
    try {
      if (!scenario.isFailed() && context.cluster != null) {
        new Invariants(context).check();
      }
    } finally {
      if (scenario.isFailed()) {
        scenario.log("answers: " + context.answers);
        scenario.log("logs: " + context.folder);
        System.err.println(scenario.getName() + " failed; answers: " + context.answers);
        System.err.println("logs: " + context.folder);
      }
      context.close();
      CurrentScenario.clear();
    }
  }

  private NodeProcess process(String name) {
    return context.cluster.process(resolve(name));
  }

  private String resolve(String name) {
    if (!name.equals("the leader")) {
      return name;
    }
    if (leaderNumber == 0) {
      leaderNumber = context.leader();
    }
    return "server-" + leaderNumber;
  }

  @When("^(the leader|server-\\d|agent-\\d) is killed$")
  public void kill(String name) {
    process(name).kill();
  }

  @When("^(the leader|server-\\d|agent-\\d) is frozen$")
  public void freeze(String name) throws IOException {
    process(name).freeze();
  }

  @When("^(the leader|server-\\d|agent-\\d) is thawed$")
  public void thaw(String name) throws IOException {
    process(name).thaw();
  }

  @When("^(the leader|server-\\d|agent-\\d) is started again$")
  public void startAgain(String name) throws IOException {
    process(name).start();
  }

  @When("^(the leader|server-\\d|agent-\\d) is told to stop$")
  public void terminate(String name) {
    process(name).terminate();
  }

  @Then("^(server-\\d|agent-\\d) ends with exit code (\\d+)$")
  public void exitsWith(String name, int code) {
    assertEquals(process(name).awaitExit(), code);
  }

  @Then("^the log of (server-\\d|agent-\\d) contains (.*)$")
  public void logContains(String name, String line) throws IOException {
    assertTrue(
        process(name).output().contains(line), "the log of " + name + " does not contain: " + line);
  }

  @When("the data folder of {word} is lost")
  public void deleteData(String name) throws IOException {
    process(name).deleteData();
  }

  @When("the first follower loses its disk and is started again")
  public void loseDiskOfFollower() throws IOException {
    int follower = context.leader() == 1 ? 2 : 1;
    NodeProcess process = context.cluster.process("server-" + follower);
    process.kill();
    process.deleteData();
    process.start();
  }

  @When("every server and agent is ready again")
  public void awaitReady() {
    context.cluster.awaitReady();
  }

  @When("^(the leader|server-\\d) is isolated from the network$")
  public void isolate(String name) {
    String box = resolve(name);
    String ip = context.cluster.ipOf(box);
    context.cluster.relay(box).cutAll();
    for (Relay relay : context.cluster.relays()) {
      relay.cut(ip, Relay.Direction.FORWARD);
      relay.cut(ip, Relay.Direction.BACKWARD);
    }
  }

  @When("^inbound traffic to (the leader) is blocked$")
  public void blockInbound(String name) {
    context.cluster.relay(resolve(name)).cutAll();
  }

  @When("^outbound traffic from (the leader) is blocked$")
  public void blockOutbound(String name) {
    String ip = context.cluster.ipOf(resolve(name));
    for (Relay relay : context.cluster.relays()) {
      relay.cut(ip, Relay.Direction.FORWARD);
    }
  }

  @When("every link to agent-{int} is cut")
  public void cutLinksOfAgent(int agent) {
    context.cluster.relay("agent-" + agent).cutAll();
  }

  @When("every link is healed")
  public void heal() {
    context.cluster.relays().forEach(Relay::heal);
  }

  @When("every link has a delay of {int} ms in each direction")
  public void delay(int delayMs) {
    context.cluster.relays().forEach(r -> r.setDelayNanos(TimeUnit.MILLISECONDS.toNanos(delayMs)));
  }

  @When("another server is the leader")
  public void awaitAnotherLeader() {
    LocalCluster.await("another server is the leader", () -> context.leader() != leaderNumber);
  }

  @When("^(the leader|server-\\d) has been declared gone$")
  public void awaitServerGone(String name) {
    String box = resolve(name);
    awaitMember(box, "GONE");
  }

  @Then("^(agent-\\d|server-\\d) is (LIVE|DRAINING|GONE) for everyone$")
  public void awaitMemberForEveryone(String member, String state) {
    awaitMember(member, state);
    if (state.equals("DRAINING")) {
      // The replicated log records the drain first; the agent learns of it with its next heartbeat.
      LocalCluster.await(member + " refuses new work", () -> logsDraining(member));
    }
  }

  private boolean logsDraining(String agent) {
    try {
      String output = process(agent).output();
      return output.lastIndexOf("event=draining ") > output.lastIndexOf("event=takingWork ");
    } catch (IOException e) {
      throw new UncheckedIOException("the output of " + agent + " can't be read", e);
    }
  }

  private void awaitMember(String member, String state) {
    LocalCluster.await(
        member + " is " + state,
        () -> {
          for (var row :
              context.get(context.anyReadyServer(), "/v1/reports/members").path("members")) {
            if (row.path("id").asText().equals(member)) {
              return row.path("state").asText().equals(state);
            }
          }
          return false;
        });
  }

  @When("the platform lists {word} as {word}")
  public void platformLists(String agent, String state) throws IOException {
    String list = "{\"boxes\": [{\"agentId\": \"%s\", \"state\": \"%s\"}]}".formatted(agent, state);
    Files.writeString(context.platformList, list);
  }

  @Then("{word} is not ready")
  public void awaitNotReady(String name) {
    int server = Integer.parseInt(name.substring("server-".length()));
    LocalCluster.await(name + " is not ready", () -> !context.isReady(server));
  }

  @Then("all three replicas are voters")
  public void awaitThreeVoters() {
    LocalCluster.await(
        "three replicas are voters",
        () -> {
          int voters = 0;
          for (var row :
              context.get(context.anyReadyServer(), "/v1/reports/status").path("replicas")) {
            voters += row.path("voter").asBoolean() ? 1 : 0;
          }
          return voters == 3;
        });
  }
}
