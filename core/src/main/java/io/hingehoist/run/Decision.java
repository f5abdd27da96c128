package io.hingehoist.run;

/**
 * One decision, as written to the log.
 *
 * @param event the kind of decision, such as {@code runOrdered}
 * @param job the job id; empty for none
 * @param task the task name; empty for none
 * @param where the host, worker or owner concerned; empty for none
 * @param outcome the outcome and the inputs that led to it
 */
public record Decision(String event, String job, String task, String where, String outcome) {}
