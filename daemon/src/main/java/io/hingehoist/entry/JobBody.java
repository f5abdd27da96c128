package io.hingehoist.entry;

import java.util.List;

/** The JSON body of a job's submission, unchecked: anything may be missing. */
record JobBody(
    String caller,
    String submissionId,
    Long submittedAtMs,
    String service,
    String jobClass,
    String team,
    Long deadlineAtMs,
    List<TaskBody> tasks) {

  /** One task. */
  record TaskBody(String payload) {}
}
