package io.hingehoist.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.hingehoist.command.OutcomeStatus;
import java.util.List;
import org.testng.annotations.Test;

public final class ActiveJobTest {

  private static ActiveJob jobOf(int taskCount) {
    List<String> payloads = java.util.Collections.nCopies(taskCount, "p");
    return ActiveJob.ofAdmitted(new JobSpec(1, 1, 0, "s", "c", "t", 100, payloads), 0);
  }

  @Test
  public void resultsAreInTheOrderOfTheTasks() {
    ActiveJob job = jobOf(3);
    job.recordTaskResult(job.task(2), "c");
    job.recordTaskResult(job.task(0), "a");
    assertTrue(job.outcome().isEmpty());
    job.recordTaskResult(job.task(1), "b");
    assertEquals(job.outcome().get().results(), List.of("a", "b", "c"));
  }

  @Test
  public void theFirstOutcomeIsFinal() {
    ActiveJob job = jobOf(2);
    job.recordTaskFailure(job.task(0), "broken");
    job.recordTaskResult(job.task(1), "b");
    assertEquals(job.outcome().get().status(), OutcomeStatus.FAILED);
    assertTrue(job.outcome().get().reason().contains("task 0 failed: broken"));
  }

  @Test
  public void aJobFailsIfItsResultsDoNotFitIntoALogEntry() {
    ActiveJob job = jobOf(5);
    String megabyte = "x".repeat(1024 * 1024);
    job.tasks().forEach(task -> job.recordTaskResult(task, megabyte));
    assertEquals(job.outcome().get().status(), OutcomeStatus.FAILED);
    assertTrue(job.outcome().get().reason().contains("at most 4194304"));
  }
}
