package io.hingehoist.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.Stream;
import org.testng.annotations.Test;

public final class JobTimelineTest {

  private static String line(long atMs, String node, String event, String job, String where) {
    return "{\"atMs\":%d,\"node\":\"%s\",\"event\":\"%s\",\"job\":\"%s\",\"where\":\"%s\"}"
        .formatted(atMs, node, event, job, where);
  }

  @Test
  public void timelineListsTheJobsEventsAndRelatedEventsInOrder() {
    JobTimeline timeline =
        JobTimeline.of(
            "j1",
            Stream.of(
                line(30, "o1", "jobAnswered", "j1", ""),
                "2.43 h1 " + line(20, "h1", "runOver", "j1", "w1"),
                line(24, "h1", "workerRefusesConnections", "", "w1"),
                line(25, "h1", "workerGone", "", "w1"),
                line(26, "h9", "workerGone", "", "w9"),
                line(10, "o1", "jobTaken", "j1", "q"),
                line(12, "o1", "jobTaken", "j2", "q"),
                "no log line at all",
                "{broken"));
    String[] lines = timeline.toText().split(System.lineSeparator());
    assertEquals(lines.length, 5);
    assertTrue(lines[0].contains("jobTaken"));
    assertTrue(lines[1].contains("runOver"));
    assertTrue(lines[2].contains("workerRefusesConnections"));
    assertTrue(lines[3].contains("workerGone"));
    assertTrue(lines[4].contains("20 ms"));
  }

  @Test
  public void unknownJobHasAnEmptyTimeline() {
    assertTrue(JobTimeline.of("j3", Stream.of(line(1, "o", "jobTaken", "j1", ""))).isEmpty());
  }
}
