/**
 * The process of an owner: takes best-effort jobs and sees to their runs at hosts. Begin with
 * {@link io.hingehoist.owner.OwnerNode}; the decisions are in {@link
 * io.hingehoist.run.owner.JobOwner}.
 */
package io.hingehoist.owner;
