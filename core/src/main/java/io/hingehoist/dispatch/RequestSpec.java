package io.hingehoist.dispatch;

/**
 * Describes a repeatable request to the dispatcher.
 *
 * @param requestId unique within the entry
 * @param deadlineMs when the request fails unless it has ended, on the dispatcher's clock
 */
public record RequestSpec(
    long requestId,
    String service,
    String jobClass,
    String team,
    long deadlineMs,
    String payload) {}
