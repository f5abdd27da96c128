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

/** Steps about processes, disks and links. */
public final class ClusterSteps {
  private final ScenarioContext context = CurrentScenario.current();
  private int leader;

  @Given("a cluster with {int} agents")
  public void cluster(int agents) throws IOException {
    context.create(agents, Map.of());
  }

  @Given("a cluster with {int} agents whose replicas take a snapshot every {int} entries")
  public void clusterWithSnapshots(int agents, int entries) throws IOException {
    context.create(agents, Map.of("snapshotEntries", String.valueOf(entries)));
  }

  /** Checks what must hold, and ends the cluster. */
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
        System.err.println(scenario.getName() + " failed: answers " + context.answers);
        System.err.println("logs: " + context.folder);
      }
      context.close();
      CurrentScenario.end();
    }
  }

  private NodeProcess process(String name) {
    return context.cluster.process(resolve(name));
  }

  private String resolve(String name) {
    if (!name.equals("the leader")) {
      return name;
    }
    if (leader == 0) {
      leader = context.leader();
    }
    return "server-" + leader;
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
  public void endsWith(String name, int code) {
    assertEquals(process(name).awaitExit(), code);
  }

  @Then("^the log of (server-\\d|agent-\\d) says (.*)$")
  public void logSays(String name, String line) throws IOException {
    assertTrue(process(name).output().contains(line), "the log of " + name + " lacks " + line);
  }

  @When("the data folder of {word} is lost")
  public void deleteData(String name) throws IOException {
    process(name).deleteData();
  }

  @When("the disk of the first follower is lost and it is started again")
  public void loseDiskOfFollower() throws IOException {
    int follower = context.leader() == 1 ? 2 : 1;
    NodeProcess process = context.cluster.process("server-" + follower);
    process.kill();
    process.deleteData();
    process.start();
  }

  @When("everything is ready again")
  public void awaitReady() {
    context.cluster.awaitReady();
  }

  @When("^(the leader|server-\\d) is cut off$")
  public void cutOff(String name) {
    String box = resolve(name);
    String ip = context.cluster.ipOf(box);
    context.cluster.relay(box).cutAll();
    for (Relay relay : context.cluster.relays()) {
      relay.cut(ip, Relay.Direction.FORWARD);
      relay.cut(ip, Relay.Direction.BACKWARD);
    }
  }

  @When("^nothing reaches (the leader) any more, but it can send$")
  public void cutInbound(String name) {
    context.cluster.relay(resolve(name)).cutAll();
  }

  @When("^nothing that (the leader) sends arrives any more$")
  public void cutOutbound(String name) {
    String ip = context.cluster.ipOf(resolve(name));
    for (Relay relay : context.cluster.relays()) {
      relay.cut(ip, Relay.Direction.FORWARD);
    }
  }

  @When("every link to agent-{int} is cut")
  public void cutAgent(int agent) {
    context.cluster.relay("agent-" + agent).cutAll();
  }

  @When("every link heals")
  public void heal() {
    context.cluster.relays().forEach(Relay::heal);
  }

  @When("every link takes {int} ms each way")
  public void delay(int delayMs) {
    context.cluster.relays().forEach(r -> r.setDelayNanos(TimeUnit.MILLISECONDS.toNanos(delayMs)));
  }

  @When("another server leads")
  public void awaitAnotherLeader() {
    LocalCluster.await("another server leads", () -> context.leader() != leader);
  }

  @When("^the others notice that (the leader|server-\\d) is gone$")
  public void awaitEntryGone(String name) {
    String box = resolve(name);
    awaitMember(box, "GONE");
  }

  @Then("^(agent-\\d|server-\\d) is (LIVE|DRAINING|GONE) for everyone$")
  public void awaitMemberForEveryone(String member, String state) {
    awaitMember(member, state);
    if (state.equals("DRAINING")) {
      // The log knows it before the agent does, whose next heartbeat brings it.
      LocalCluster.await(member + " takes no new work", () -> logsDraining(member));
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
  public void notReady(String name) {
    int server = Integer.parseInt(name.substring("server-".length()));
    LocalCluster.await(name + " is not ready", () -> !context.isReady(server));
  }

  @Then("all three replicas vote")
  public void allVote() {
    LocalCluster.await(
        "three replicas vote",
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
