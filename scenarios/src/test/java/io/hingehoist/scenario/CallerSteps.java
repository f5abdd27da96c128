package io.hingehoist.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.hingehoist.cluster.LocalCluster;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Steps that act as callers. */
public final class CallerSteps {
  private final ScenarioContext context = CurrentScenario.context();

  @When("job {word} of {int} task(s) of {int} ms is submitted at server {int}")
  public void submit(String id, int tasks, int taskMs, int server) {
    context.post(id, server, "/v1/jobs", context.job(id, tasks, taskMs));
  }

  @When("{int} jobs named {word} of {int} tasks of {int} ms are submitted at every server")
  public void submitMany(int jobs, String name, int tasks, int taskMs) {
    for (int i = 0; i < jobs; i++) {
      // Later jobs are shorter, so that answers arrive out of order.
      int shorterTaskMs = Math.max(1, taskMs - i * taskMs / jobs);
      submit(name + i, tasks, shorterTaskMs, i % 3 + 1);
    }
  }

  @When("job {word} is resubmitted at server {int}")
  public void resubmit(String id, int server) {
    context.post(id, server, "/v1/jobs", context.submissions.get(id));
  }

  @When("job {word} is resubmitted at a ready server")
  public void resubmit(String id) {
    context.postUntilOutcomeKnown(id, "/v1/jobs", context.submissions.get(id));
  }

  @When("job {word} is resubmitted with another payload at server {int}")
  public void resubmitWithOtherPayload(String id, int server) {
    ObjectNode body = context.submissions.get(id).deepCopy();
    body.withArray("tasks").addObject().put("payload", "ms=1 intruder/0");
    context.post("other-" + id, server, "/v1/jobs", body);
  }

  @When(
      "job {word} of {int} tasks of {int} ms and a deadline of {int} ms is submitted at server {int}")
  public void submitWithDeadline(String id, int tasks, int taskMs, int deadlineMs, int server) {
    ObjectNode body = context.job(id, tasks, taskMs);
    body.put("deadlineAtMs", System.currentTimeMillis() + deadlineMs);
    context.post(id, server, "/v1/jobs", body);
  }

  @When("job {word} submitted {int} ms ago is submitted at server {int}")
  public void submitOld(String id, int ageMs, int server) {
    ObjectNode body = context.job(id, 1, 1);
    body.put("submittedAtMs", System.currentTimeMillis() - ageMs);
    context.post(id, server, "/v1/jobs", body);
  }

  @When("request {word} of {int} ms that must not be repeated is sent to server {int}")
  public void sendNonRepeatable(String id, int taskMs, int server) {
    ObjectNode body =
        context.submissions.computeIfAbsent(
            id,
            name ->
                context
                    .submission(name)
                    .put("repeatable", false)
                    .put("payload", ScenarioContext.payload(name, 0, taskMs)));
    context.post(id, server, "/v1/requests", body);
  }

  @When(
      "request {word} that must not be repeated and fails at the backend server is sent to server {int}")
  public void sendFailingNonRepeatable(String id, int server) {
    ObjectNode body = context.submission(id).put("repeatable", false);
    body.put("payload", "fail " + id + "/0");
    context.submissions.put(id, body);
    context.post(id, server, "/v1/requests", body);
  }

  @When("{int} repeatable requests of {int} ms are sent to server {int}")
  public void sendRepeatable(int count, int taskMs, int server) {
    for (int i = 0; i < count; i++) {
      ObjectNode body = context.submission("repeatable").put("repeatable", true);
      body.put("payload", "ms=" + taskMs + " repeatable-" + i);
      context.post("repeatable-" + i, server, "/v1/requests", body);
    }
  }

  @When("job {word} has been admitted")
  public void awaitAdmitted(String id) {
    LocalCluster.await(
        id + " is admitted",
        () -> !context.state(id).path("outcome").asText("notFound").equals("notFound"));
  }

  @When("at least {int} task(s) of job {word} has/have started")
  public void awaitStarts(int count, String id) {
    LocalCluster.await(
        count + " tasks of " + id + " have started", () -> context.startCount(id) >= count);
  }

  @When("the backend servers have answered every task of job {word}")
  public void awaitResults(String id) {
    int tasks = context.submissions.get(id).path("tasks").size();
    LocalCluster.await(
        "every result of " + id + " has been sent",
        () -> context.cluster.backends().mapToLong(b -> b.answeredCount(id)).sum() >= tasks);
  }

  @When("job {word} has ended")
  public void awaitEnded(String id) {
    LocalCluster.await(
        id + " has ended",
        () -> List.of("complete", "failed").contains(context.state(id).path("outcome").asText()));
  }

  @Then("^job (\\S+) ends (complete|failed|complete or failed)$")
  public void ends(String id, String outcomes) {
    awaitEnded(id);
    String outcome = context.state(id).path("outcome").asText();
    assertTrue(List.of(outcomes.split(" or ")).contains(outcome), outcome);
  }

  @Then("every caller has received an answer")
  public void awaitAnswers() {
    List<CompletableFuture<Answered>> pendingAnswers = List.copyOf(context.pendingAnswers);
    CompletableFuture.allOf(pendingAnswers.toArray(new CompletableFuture<?>[0])).join();
  }

  @Then("^every answer to (\\S+) is (complete|failed|refused)$")
  public void everyAnswer(String id, String outcome) {
    awaitAnswers();
    List<Answered> answers = context.answers.stream().filter(a -> a.id().equals(id)).toList();
    assertTrue(!answers.isEmpty());
    answers.forEach(a -> assertEquals(a.outcome(), outcome, a.toString()));
  }

  @Then("^every caller of request (\\S+) ends (complete|failed) after retries$")
  public void everyCallerAfterRetries(String id, String outcome) {
    awaitAnswers();
    List<Answered> answers = context.answers.stream().filter(a -> a.id().equals(id)).toList();
    assertTrue(!answers.isEmpty());
    for (Answered answer : answers) {
      Answered last =
          answer.shouldRetry()
              ? context
                  .postUntilOutcomeKnown(id, "/v1/requests", context.submissions.get(id))
                  .join()
              : answer;
      assertEquals(last.outcome(), outcome, last.toString());
    }
  }

  @Then("^every answer is complete$")
  public void everyAnswerComplete() {
    awaitAnswers();
    List.copyOf(context.answers).forEach(a -> assertEquals(a.outcome(), "complete", a.toString()));
  }

  @Then("the answer to {word} has the cause {word}")
  public void answerHasCause(String id, String cause) {
    awaitAnswers();
    Answered answer =
        context.answers.stream().filter(a -> a.id().equals(id)).findFirst().orElseThrow();
    assertEquals(answer.body().path("cause").asText(), cause, answer.toString());
  }

  @Then("the answer to {word} says when to retry")
  public void answerHasRetryDelay(String id) {
    Answered answer =
        context.answers.stream().filter(a -> a.id().equals(id)).findFirst().orElseThrow();
    assertTrue(answer.body().path("retryAfterMs").asLong() > 0, answer.toString());
  }

  @Then("job {word} has started {int} task(s)")
  public void hasStarted(String id, int count) {
    assertEquals(context.startCount(id), count);
  }

  @Then("no task of job {word} starts at {word}")
  public void noStartAt(String id, String agent) throws Exception {
    boolean startedThere =
        context.cluster.startLogLines().stream()
            .anyMatch(l -> l.contains("\t" + agent + "\t") && l.contains(" " + id + "/"));
    assertTrue(!startedThere, id + " has a task that started at " + agent);
  }
}
