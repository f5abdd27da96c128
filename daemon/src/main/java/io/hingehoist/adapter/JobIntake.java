package io.hingehoist.adapter;

import io.hingehoist.route.RouteTable;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import java.util.Optional;
import java.util.function.Consumer;

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
   * Reads the newest routes from the control replicas.
   *
   * @param result receives the routes; empty if no leader answered in time
   */
  void readNewestRoutes(Consumer<Optional<RouteTable>> result);

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
