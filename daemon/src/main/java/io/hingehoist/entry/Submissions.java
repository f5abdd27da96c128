package io.hingehoist.entry;

import io.hingehoist.entry.JobBody.TaskBody;
import io.hingehoist.settings.FieldSpecs;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongBiFunction;

/** Static helpers that check the bodies of submissions. */
final class Submissions {
  /** The most tasks of one job. */
  static final int MAX_TASKS = 1_900;

  /** A week: longer than any retention, so that the log's own limit is the one that counts. */
  private static final long MAX_DEADLINE_MS = 7L * 24 * 3_600 * 1_000;

  private static final String DEFAULT_NAME = "default";
  private static final int MAX_ID_CHARACTERS = 128;

  private Submissions() {}

  /** Returns the checked submission of a job. */
  static JobSubmission check(
      JobBody body, ToLongBiFunction<String, String> defaultDeadlineMs, long nowWallMs) {
    if (body.tasks() == null || body.tasks().isEmpty() || body.tasks().size() > MAX_TASKS) {
      Object found = body.tasks() == null ? "(missing)" : body.tasks().size() + " tasks";
      throw new InvalidFieldException("tasks", found, "1 to " + MAX_TASKS + " tasks");
    }
    List<String> payloads = new ArrayList<>();
    for (int index = 0; index < body.tasks().size(); index++) {
      TaskBody task = body.tasks().get(index);
      String payload = task == null ? null : task.payload();
      payloads.add(required("tasks[" + index + "].payload", payload));
    }
    return submission(
        body.caller(),
        body.submissionId(),
        body.submittedAtMs(),
        body.service(),
        body.jobClass(),
        body.team(),
        body.deadlineAtMs(),
        payloads,
        defaultDeadlineMs,
        nowWallMs);
  }

  /** Returns the checked submission of a request that must not be repeated: a job of one task. */
  static JobSubmission checkOnce(
      RequestBody body, ToLongBiFunction<String, String> defaultDeadlineMs, long nowWallMs) {
    return submission(
        body.caller(),
        body.submissionId(),
        body.submittedAtMs(),
        body.service(),
        body.jobClass(),
        body.team(),
        body.deadlineAtMs(),
        List.of(required("payload", body.payload())),
        defaultDeadlineMs,
        nowWallMs);
  }

  private static JobSubmission submission(
      String caller,
      String submissionId,
      Long submittedAtMs,
      String service,
      String jobClass,
      String team,
      Long deadlineAtMs,
      List<String> payloads,
      ToLongBiFunction<String, String> defaultDeadlineMs,
      long nowWallMs) {
    String checkedService = name("service", service);
    String checkedClass = nameOrDefault("jobClass", jobClass);
    return new JobSubmission(
        id("caller", caller),
        id("submissionId", submissionId),
        time("submittedAtMs", submittedAtMs),
        checkedService,
        checkedClass,
        nameOrDefault("team", team),
        deadline(
            deadlineAtMs, defaultDeadlineMs.applyAsLong(checkedService, checkedClass), nowWallMs),
        payloads);
  }

  /** Returns the checked submission of a repeatable request. */
  static RequestSubmission checkRepeatable(
      RequestBody body, ToLongBiFunction<String, String> defaultDeadlineMs, long nowWallMs) {
    String service = name("service", body.service());
    String jobClass = nameOrDefault("jobClass", body.jobClass());
    return new RequestSubmission(
        service,
        jobClass,
        nameOrDefault("team", body.team()),
        deadline(body.deadlineAtMs(), defaultDeadlineMs.applyAsLong(service, jobClass), nowWallMs),
        required("payload", body.payload()));
  }

  static <T> T required(String field, T value) {
    if (value == null) {
      throw new InvalidFieldException(field, "(missing)", "a value");
    }
    return value;
  }

  static String id(String field, String value) {
    String id = required(field, value);
    boolean printable = id.chars().allMatch(c -> c > ' ' && c < 127 && c != '/');
    if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS || !printable) {
      throw new InvalidFieldException(
          field,
          id,
          "1 to " + MAX_ID_CHARACTERS + " printable ASCII characters without blanks and slashes");
    }
    return id;
  }

  private static String name(String field, String value) {
    String name = required(field, value);
    if (!FieldSpecs.isName(name)) {
      throw new InvalidFieldException(field, name, FieldSpecs.describeNameRange());
    }
    return name;
  }

  private static String nameOrDefault(String field, String value) {
    return value == null ? DEFAULT_NAME : name(field, value);
  }

  private static long time(String field, Long value) {
    long time = required(field, value);
    if (time <= 0) {
      throw new InvalidFieldException(field, time, "milliseconds since 1970, above 0");
    }
    return time;
  }

  private static long deadline(Long deadlineAtMs, long defaultMs, long nowWallMs) {
    if (deadlineAtMs == null) {
      return nowWallMs + defaultMs;
    }
    if (deadlineAtMs <= nowWallMs) {
      throw new InvalidFieldException(
          "deadlineAtMs", deadlineAtMs, "later than now, which is " + nowWallMs);
    }
    if (deadlineAtMs > nowWallMs + MAX_DEADLINE_MS) {
      throw new InvalidFieldException(
          "deadlineAtMs", deadlineAtMs, "at most " + (nowWallMs + MAX_DEADLINE_MS));
    }
    return deadlineAtMs;
  }
}
