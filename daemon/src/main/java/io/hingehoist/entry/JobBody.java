package io.hingehoist.entry;

import java.util.List;

/** The JSON body of a job submission, before validation: any field may be missing. */
record JobBody(
    String caller,
    String submissionId,
    Long submittedAtMs,
    String service,
    String jobClass,
    String team,
    Long deadlineAtMs,
    List<TaskBody> tasks) {

  /** The JSON body of one task. */
  record TaskBody(String payload) {}
}
