package io.hingehoist.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.hingehoist.command.ChangeAgentState;
import io.hingehoist.command.ChangeSettings;
import io.hingehoist.command.ChangeZone;
import io.hingehoist.command.CommandResult;
import io.hingehoist.command.MemberRefused;
import io.hingehoist.command.SettingsAccepted;
import io.hingehoist.command.SettingsRefused;
import io.hingehoist.command.ZoneAccepted;
import io.hingehoist.command.ZoneRefused;
import io.hingehoist.message.MemberState;
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
import jakarta.ws.rs.core.Response;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Serves the operators' API. See docs/API.md. Thread-safe. */
@Path("/v1")
@Produces(MediaType.APPLICATION_JSON)
@Consumes(MediaType.APPLICATION_JSON)
public final class OperatorResource {
  private static final Set<String> REPORTS =
      Set.of("settings", "tree", "history", "members", "zones", "audit", "status");
  private static final int UNPROCESSABLE = 422;
  private static final long CHANGE_TIMEOUT_MS = 10_000;

  /**
   * The JSON body of a settings change, before validation. Without a value the node inherits the
   * setting again.
   */
  record ChangeBody(
      String changeId, Long baseRevision, String path, String key, String value, String operator) {}

  /** The JSON body of a change to the state of an agent or zone, before validation. */
  record StateBody(String operator) {}

  /** The JSON body of the response to a change. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record ChangeAnswer(String result, Long revision, String reason) {}

  private final EntryNode entry;

  @Inject
  OperatorResource(EntryNode entry) {
    this.entry = entry;
  }

  /** Returns a report as JSON. */
  @GET
  @Path("/reports/{report}")
  public void report(
      @PathParam("report") String report,
      @QueryParam("argument") @DefaultValue("") String argument,
      @Suspended AsyncResponse response) {
    if (!REPORTS.contains(report)) {
      throw new InvalidFieldException("report", report, String.join(", ", REPORTS));
    }
    entry
        .report(report, argument)
        .whenComplete((json, failure) -> response.resume(failure == null ? json : unavailable()));
  }

  private static Response unavailable() {
    ChangeAnswer body = new ChangeAnswer("unknown", null, "no control replica leads");
    return Response.status(Response.Status.GATEWAY_TIMEOUT).entity(body).build();
  }

  /** Changes one value in the settings tree. */
  @POST
  @Path("/settings")
  public void changeSettings(ChangeBody body, @Suspended AsyncResponse response) {
    ChangeBody requiredBody = Submissions.required("(whole body)", body);
    ChangeSettings change =
        new ChangeSettings(
            Submissions.id("changeId", requiredBody.changeId()),
            Submissions.required("baseRevision", requiredBody.baseRevision()),
            Submissions.required("path", requiredBody.path()),
            Submissions.required("key", requiredBody.key()),
            Optional.ofNullable(requiredBody.value()),
            Submissions.id("operator", requiredBody.operator()));
    propose(change, response);
  }

  /** Drains an agent, so that it accepts no new work. */
  @POST
  @Path("/members/{agentId}/drain")
  public void drain(
      @PathParam("agentId") String agentId, StateBody body, @Suspended AsyncResponse response) {
    changeState(agentId, MemberState.DRAINING, body, response);
  }

  /** Ends the draining of an agent, so that it accepts work again. */
  @POST
  @Path("/members/{agentId}/undrain")
  public void undrain(
      @PathParam("agentId") String agentId, StateBody body, @Suspended AsyncResponse response) {
    changeState(agentId, MemberState.LIVE, body, response);
  }

  /** Evacuates an availability zone, so that its agents accept no new work. */
  @POST
  @Path("/zones/{zone}/evacuate")
  public void evacuate(
      @PathParam("zone") String zone, StateBody body, @Suspended AsyncResponse response) {
    changeZone(zone, true, body, response);
  }

  /** Restores an evacuated availability zone, so that its agents accept work again. */
  @POST
  @Path("/zones/{zone}/restore")
  public void restore(
      @PathParam("zone") String zone, StateBody body, @Suspended AsyncResponse response) {
    changeZone(zone, false, body, response);
  }

  private void changeZone(String zone, boolean evacuated, StateBody body, AsyncResponse response) {
    String operator = operatorOf(body);
    propose(new ChangeZone(Submissions.id("zone", zone), evacuated, operator), response);
  }

  private void changeState(
      String agentId, MemberState state, StateBody body, AsyncResponse response) {
    propose(new ChangeAgentState(agentId, 0, state, "operator", operatorOf(body)), response);
  }

  private static String operatorOf(StateBody body) {
    return Submissions.id("operator", Submissions.required("(whole body)", body).operator());
  }

  private void propose(io.hingehoist.command.Command command, AsyncResponse response) {
    response.setTimeout(CHANGE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    response.setTimeoutHandler(late -> late.resume(unavailable()));
    entry.propose(command).thenAccept(result -> response.resume(toResponse(result)));
  }

  private static Response toResponse(CommandResult result) {
    return switch (result) {
      case SettingsAccepted accepted -> answer(200, "accepted", accepted.revision(), null);
      case SettingsRefused refused -> answer(statusOf(refused), refused);
      case MemberRefused refused -> answer(404, "refused", null, refused.detail());
      case ZoneAccepted accepted -> answer(200, "accepted", accepted.version(), null);
      case ZoneRefused refused -> answer(UNPROCESSABLE, "refused", null, refused.detail());
      default -> answer(200, "accepted", null, null);
    };
  }

  private static int statusOf(SettingsRefused refused) {
    return switch (refused.reason()) {
      case CHANGE_ID_CONFLICT, STALE_BASE -> Response.Status.CONFLICT.getStatusCode();
      case INVALID -> UNPROCESSABLE;
    };
  }

  private static Response answer(int status, SettingsRefused refused) {
    return answer(status, "refused", refused.currentRevision(), refused.detail());
  }

  private static Response answer(int status, String result, Long revision, String reason) {
    return Response.status(status).entity(new ChangeAnswer(result, revision, reason)).build();
  }
}
