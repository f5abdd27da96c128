package io.hingehoist.scenario;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.hingehoist.cluster.LocalCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Steps that act as operators. */
public final class OperatorSteps {
  private final ScenarioContext context = CurrentScenario.context();
  private final List<CompletableFuture<Answered>> changes = new ArrayList<>();

  private static ObjectNode change(String changeId, long baseRevision, String key, String value) {
    ObjectNode body = ScenarioContext.newObject();
    body.put("changeId", changeId);
    body.put("baseRevision", baseRevision);
    body.put("path", "/porting");
    body.put("key", key);
    body.put("value", value);
    body.put("operator", "operator-of-" + changeId);
    return body;
  }

  private long currentRevision() {
    JsonNode[] tree = new JsonNode[1];
    LocalCluster.await(
        "the settings can be read",
        () -> {
          tree[0] = context.get(context.anyReadyServer(), "/v1/reports/tree");
          return tree[0].has("overrides");
        });
    return tree[0].path("revision").asLong();
  }

  private Answered postChange(int server, ObjectNode body) {
    Answered answer = postChangeAsync(server, body).join();
    if (answer.body().path("result").asText().equals("accepted")) {
      context.acceptedRevisions.add(answer.body().path("revision").asLong());
    }
    return answer;
  }

  private CompletableFuture<Answered> postChangeAsync(int server, ObjectNode body) {
    return context.post("settings", server, "/v1/settings", body);
  }

  @When("an operator sets {word} to {word} at server {int}")
  public void set(String key, String value, int server) {
    Answered answer = postChange(server, change("set-" + value, currentRevision(), key, value));
    assertEquals(answer.body().path("result").asText(), "accepted", answer.toString());
  }

  @When("an operator sets {word} to {word} at a ready server")
  public void set(String key, String value) {
    set(key, value, context.anyReadyServer());
  }

  @When("{int} settings changes are made at a ready server")
  public void manyChanges(int count) {
    int server = context.anyReadyServer();
    long baseRevision = currentRevision();
    for (int i = 0; i < count; i++) {
      Answered answer =
          postChange(
              server,
              change("many-" + i, baseRevision + i, "taskTimeoutMs", String.valueOf(10_000 + i)));
      assertEquals(answer.body().path("result").asText(), "accepted", answer.toString());
    }
  }

  @When(
      "operators at servers 1, 2 and 3 change {word} concurrently, each based on the same revision")
  public void changeConcurrently(String key) {
    long baseRevision = currentRevision();
    for (int server = 1; server <= 3; server++) {
      changes.add(
          postChangeAsync(server, change("race-" + server, baseRevision, key, "1000" + server)));
    }
  }

  @When("operators at servers 1, 2 and 3 make different changes of {word} under the same change id")
  public void changeConcurrentlyUnderOneId(String key) {
    long baseRevision = currentRevision();
    for (int server = 1; server <= 3; server++) {
      changes.add(postChangeAsync(server, change("same-id", baseRevision, key, "1000" + server)));
    }
  }

  @Then("exactly one of them is accepted")
  public void exactlyOneIsAccepted() {
    long accepted =
        changes.stream()
            .map(CompletableFuture::join)
            .filter(a -> a.body().path("result").asText().equals("accepted"))
            .count();
    assertEquals(accepted, 1);
  }

  @When("an operator whose answer was lost resends the same change at every server")
  public void resend() {
    ObjectNode body = change("resent", currentRevision(), "taskTimeoutMs", "12345");
    for (int server = 1; server <= 3; server++) {
      changes.add(postChangeAsync(server, body));
    }
  }

  @Then("every resend receives the same answer and the revision has increased by one to {int}")
  public void everyResendIsAccepted(int revision) {
    for (CompletableFuture<Answered> change : changes) {
      assertEquals(change.join().body().path("result").asText(), "accepted");
      assertEquals(change.join().body().path("revision").asInt(), revision);
    }
    assertEquals(currentRevision(), revision);
  }

  @Then("revision {int} is in force at every server")
  public void awaitInForce(int revision) {
    for (int server = 1; server <= 3; server++) {
      String address = context.cluster.httpAddress(server);
      LocalCluster.await(
          "revision " + revision + " is in force at server " + server,
          () ->
              context
                  .cluster
                  .body(address, "/health/ready")
                  .startsWith("ready, settings revision " + revision));
    }
  }

  @Then("the audit trail holds {int} accepted and {int} refused settings changes")
  public void auditTrailHolds(int accepted, int refused) {
    int[] found = new int[2];
    context
        .get(context.anyReadyServer(), "/v1/reports/history")
        .path("rows")
        .forEach(row -> found[row.path("accepted").asBoolean() ? 0 : 1]++);
    assertEquals(found, new int[] {accepted, refused});
  }

  @When("an operator drains {word}")
  public void drain(String agent) {
    postCommand("/v1/members/" + agent + "/drain");
  }

  @When("an operator evacuates {word}")
  public void evacuate(String zone) {
    postCommand("/v1/zones/" + zone + "/evacuate");
  }

  @When("an operator restores {word}")
  public void restore(String zone) {
    postCommand("/v1/zones/" + zone + "/restore");
  }

  private void postCommand(String path) {
    ObjectNode body = ScenarioContext.newObject().put("operator", "kim");
    Answered answer = context.post("order", context.anyReadyServer(), path, body).join();
    assertEquals(answer.status(), 200, answer.toString());
  }
}
