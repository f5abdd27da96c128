package io.hingehoist.route;

/**
 * One queue of jobs and the requests that belong to it.
 *
 * @param name names the queue
 * @param host the host that requests name
 * @param prefix what their path begins with
 * @param service the service whose workers run its tasks
 * @param priority 0 goes first
 * @param attempts the failed runs of one task after which a job fails
 * @param allowanceMs the time allowed beyond the work itself
 * @param stretch how many times as long as the work an answer may take
 */
public record Route(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int attempts,
    long allowanceMs,
    double stretch) {}
