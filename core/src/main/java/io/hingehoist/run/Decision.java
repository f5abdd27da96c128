package io.hingehoist.run;

/**
 * One decision, as the log shows it.
 *
 * @param event what was decided, such as {@code runOrdered}
 * @param job the job; empty for none
 * @param task the task; empty for none
 * @param where the host, worker or owner that it is about; empty for none
 * @param outcome the outcome, with the inputs that decided it
 */
public record Decision(String event, String job, String task, String where, String outcome) {}
