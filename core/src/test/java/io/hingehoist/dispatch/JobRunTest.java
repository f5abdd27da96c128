package io.hingehoist.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.command.OutcomeStatus;
import java.util.List;
import org.testng.annotations.Test;

public final class JobRunTest {

  private static JobRun run(int tasks) {
    List<String> payloads = java.util.Collections.nCopies(tasks, "p");
    return JobRun.fresh(new JobSpec(1, 1, 0, "s", "c", "t", 100, payloads), 0);
  }

  @Test
  public void resultsStandInTheOrderOfTheTasks() {
    JobRun run = run(3);
    run.finishTask(run.task(2), "c");
    run.finishTask(run.task(0), "a");
    assertTrue(run.outcome().isEmpty());
    run.finishTask(run.task(1), "b");
    assertEquals(run.outcome().get().results(), List.of("a", "b", "c"));
  }

  @Test
  public void theFirstEndStands() {
    JobRun run = run(2);
    run.failTask(run.task(0), "broken");
    run.finishTask(run.task(1), "b");
    assertEquals(run.outcome().get().status(), OutcomeStatus.FAILED);
    assertTrue(run.outcome().get().reason().contains("task 0 failed: broken"));
  }

  @Test
  public void anAnswerThatDoesNotFitIntoTheLogFails() {
    JobRun run = run(5);
    String megabyte = "x".repeat(1024 * 1024);
    run.tasks().forEach(task -> run.finishTask(task, megabyte));
    assertEquals(run.outcome().get().status(), OutcomeStatus.FAILED);
    assertTrue(run.outcome().get().reason().contains("at most 4194304"));
  }
}
