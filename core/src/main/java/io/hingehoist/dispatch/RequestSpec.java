package io.hingehoist.dispatch;

/**
 * A repeatable request, as its entry dispatches it.
 *
 * @param requestId unique in the entry
 * @param deadlineMs when it is given up, on the dispatcher's clock
 */
public record RequestSpec(
    long requestId,
    String service,
    String jobClass,
    String team,
    long deadlineMs,
    String payload) {}
