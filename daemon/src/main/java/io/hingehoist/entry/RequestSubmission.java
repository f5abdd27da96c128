package io.hingehoist.entry;

/** A validated submission of a repeatable request. */
public record RequestSubmission(
    String service, String jobClass, String team, long deadlineAtMs, String payload) {}
