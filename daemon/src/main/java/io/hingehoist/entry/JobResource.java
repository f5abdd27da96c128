package io.hingehoist.entry;

import io.hingehoist.metrics.Metrics;
import jakarta.inject.Inject;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.MediaType;

/** Serves the callers' API for jobs and single requests. See docs/API.md. Thread-safe. */
@Path("/v1")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class JobResource {
  private static final long MAX_WAIT_MS = 600_000;

  private final EntryNode entry;
  private final Metrics metrics;
  private final WaitingLimit limit;

  @Inject
  JobResource(EntryNode entry, Metrics metrics) {
    this.entry = entry;
    this.metrics = metrics;
    this.limit = WaitingLimit.create(entry.settings().maxWaiting());
  }

  private long defaultDeadlineMs(String service, String jobClass) {
    return entry.policyFor(service, jobClass).defaultDeadlineMs();
  }

  /**
   * Submits a job, and answers once it has ended, or once it is admitted if {@code wait} is false.
   */
  @POST
  @Path("/jobs")
  public void submitJob(
      JobBody body,
      @QueryParam("wait") @DefaultValue("true") boolean wait,
      @Suspended AsyncResponse response) {
    JobBody requiredBody = Submissions.required("(whole body)", body);
    JobSubmission submission =
        Submissions.check(requiredBody, this::defaultDeadlineMs, System.currentTimeMillis());
    Answers.send(
        limit.runIfBelowLimit(() -> entry.submitJob(submission, wait)), response, "job", metrics);
  }

  /** Returns the state of a submission. */
  @GET
  @Path("/jobs/{caller}/{submissionId}")
  public void findJob(
      @PathParam("caller") String caller,
      @PathParam("submissionId") String submissionId,
      @QueryParam("waitMs") @DefaultValue("0") long waitMs,
      @Suspended AsyncResponse response) {
    if (waitMs < 0 || waitMs > MAX_WAIT_MS) {
      throw new InvalidFieldException("waitMs", waitMs, "0 to " + MAX_WAIT_MS);
    }
    Answers.send(
        limit.runIfBelowLimit(() -> entry.findJob(caller, submissionId, waitMs)),
        response,
        "find",
        metrics);
  }

  /** Runs a single request. */
  @POST
  @Path("/requests")
  public void runRequest(RequestBody body, @Suspended AsyncResponse response) {
    RequestBody requiredBody = Submissions.required("(whole body)", body);
    boolean repeatable = Submissions.required("repeatable", requiredBody.repeatable());
    long now = System.currentTimeMillis();
    if (repeatable) {
      RequestSubmission submission =
          Submissions.checkRepeatable(requiredBody, this::defaultDeadlineMs, now);
      Answers.send(
          limit.runIfBelowLimit(() -> entry.runRequest(submission)),
          response,
          "repeatable",
          metrics);
    } else {
      JobSubmission submission =
          Submissions.checkNonRepeatable(requiredBody, this::defaultDeadlineMs, now);
      Answers.send(
          limit.runIfBelowLimit(() -> entry.submitJob(submission, true)),
          response,
          "once",
          metrics);
    }
  }
}
