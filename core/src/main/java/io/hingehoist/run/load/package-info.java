/**
 * Policies under load: the order of waiting work, the prediction of late answers, the refusal of
 * jobs, and the allocation of scarce room.
 *
 * <p>Each class documents the situation that it covers. It computes a decision from plain values
 * and times, and is called by owners and hosts. Start with {@link
 * io.hingehoist.run.load.WaitingOrder} and {@link io.hingehoist.run.load.RefusalPolicy}.
 */
package io.hingehoist.run.load;
