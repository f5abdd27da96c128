/**
 * Decisions under load: in which order work waits, what counts as late, what is turned away and
 * when, whose work gets room.
 *
 * <p>Each class here names the load that it answers, takes plain values and times, and gives back a
 * decision; owners and hosts ask it. Begin with {@link io.hingehoist.run.load.WaitingOrder} and
 * {@link io.hingehoist.run.load.RefusalPolicy}.
 */
package io.hingehoist.run.load;
