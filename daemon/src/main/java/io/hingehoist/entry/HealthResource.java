package io.hingehoist.entry;

import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/** Serves the health checks of the load balancer. Thread-safe. */
@Path("/health")
@Produces(MediaType.TEXT_PLAIN)
public final class HealthResource {
  private final EntryNode entry;

  @Inject
  HealthResource(EntryNode entry) {
    this.entry = entry;
  }

  /** Returns a fixed text, which shows that the process is running. */
  @GET
  @Path("/live")
  public String live() {
    return "live\n";
  }

  /**
   * Returns whether the load balancer should send callers to this entry, with the revision of the
   * settings in force if so.
   */
  @GET
  @Path("/ready")
  public Response ready() {
    long revision = entry.settingsRevision();
    return entry.isReady()
        ? Response.ok("ready, settings revision " + revision + "\n").build()
        : Response.status(Response.Status.SERVICE_UNAVAILABLE).entity("not ready\n").build();
  }
}
