/**
 * The process of an owner: accepts best-effort jobs and dispatches their runs to hosts. Start with
 * {@link io.hingehoist.owner.OwnerNode}; the decisions are made by {@link
 * io.hingehoist.run.owner.JobOwner}.
 */
package io.hingehoist.owner;
