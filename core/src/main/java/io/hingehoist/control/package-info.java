/**
 * The applied state of the replicated log: submissions, members, settings and the audit trail.
 *
 * <p>Start with {@link io.hingehoist.control.ControlState}, which applies commands in log order and
 * is the same on every replica. {@link io.hingehoist.control.Liveness} is the leader's failure
 * detector for members and is not replicated.
 */
package io.hingehoist.control;
