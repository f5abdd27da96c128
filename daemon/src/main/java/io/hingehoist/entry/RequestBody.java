package io.hingehoist.entry;

/** The JSON body of a single request, before validation: any field may be missing. */
record RequestBody(
    String caller,
    String submissionId,
    Long submittedAtMs,
    String service,
    String jobClass,
    String team,
    Long deadlineAtMs,
    Boolean repeatable,
    String payload) {}
