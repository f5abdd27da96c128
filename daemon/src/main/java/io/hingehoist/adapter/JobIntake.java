package io.hingehoist.adapter;

import io.hingehoist.route.RouteTable;
import io.hingehoist.run.JobEnd;
import io.hingehoist.run.JobPlan;
import java.util.Optional;
import java.util.function.Consumer;

/** What an owner offers to those who bring jobs. Used on the event loop. */
public interface JobIntake {

  /** Someone who waits for a job's end. */
  interface Waiter {
    /** Takes the end. Called once at most. */
    void onEnd(JobEnd end);
  }

  /** Returns the routes that are in force here; empty before any configuration. */
  Optional<RouteTable> routes();

  /**
   * Reads the newest routes from the control replicas.
   *
   * @param result gets them; empty if no leader could be asked in time
   */
  void readNewestRoutes(Consumer<Optional<RouteTable>> result);

  /** Returns whether this box is about to end, too soon for a job. */
  boolean stopsTooSoonFor(JobPlan plan);

  /** Takes a job, or joins the one of the same name that is here. */
  void submit(JobPlan plan, Waiter waiter);

  /** Notes that a waiter is gone; a job that nobody waits for is dropped. */
  void removeWaiter(String jobId, Waiter waiter);

  /** Ends a job here. Returns whether there was one. */
  boolean cancel(String jobId);

  /** Returns whether a job is here. */
  boolean hasJob(String jobId);

  /** Returns the number of jobs of a queue none of whose tasks was started. */
  long unstartedJobCount(String queue);
}
