package io.hingehoist.adapter;

import io.hingehoist.route.RouteLookup;
import io.hingehoist.route.RouteTable;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import java.util.Optional;

/**
 * Accepts jobs from callers; implemented by the owner. Not thread-safe: confined to the event loop.
 */
public interface JobIntake {

  /** A caller that waits for the end of a job. */
  interface Waiter {
    /** Receives the end of the job. Called at most once. */
    void onEnd(JobEnd end);
  }

  /** Returns the routes in force in this process; empty before the first configuration. */
  Optional<RouteTable> routes();

  /**
   * Looks up a route that is not in force here in the newest configuration, as the control replicas
   * may have accepted it a moment ago. Lookups with the same host and path get their results in the
   * order in which they were begun, and before such a route is found in {@link #routes}.
   */
  void beginLookup(RouteLookup lookup);

  /** Cancels a lookup whose caller has disconnected: it gets no result any more. */
  void cancelLookup(RouteLookup lookup);

  /** Returns whether this box will stop too soon for a job to complete. */
  boolean stopsTooSoonFor(JobPlan plan);

  /** Submits a job, or attaches the waiter to a job with the same id that already exists here. */
  void submit(JobPlan plan, Waiter waiter);

  /** Removes a waiter whose caller has disconnected. A job without any waiter is dropped. */
  void removeWaiter(String jobId, Waiter waiter);

  /** Cancels a job. Returns whether the job was known. */
  boolean cancel(String jobId);

  /** Returns whether this owner has a job. */
  boolean hasJob(String jobId);

  /** Returns the number of jobs in a queue of which no task has been started. */
  long unstartedJobCount(String queue);
}
