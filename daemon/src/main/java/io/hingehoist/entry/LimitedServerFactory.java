package io.hingehoist.entry;

import io.dropwizard.core.server.SimpleServerFactory;
import io.dropwizard.core.setup.Environment;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.metrics.Metrics;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.component.LifeCycle;

/** Builds a server that limits what its callers make the process hold. Not thread-safe. */
final class LimitedServerFactory extends SimpleServerFactory {
  private final ConnectionLimits limits;
  private final int maxBodyBytes;
  private final Metrics metrics;

  LimitedServerFactory(ConnectionLimits limits, int maxBodyBytes, Metrics metrics) {
    this.limits = limits;
    this.maxBodyBytes = maxBodyBytes;
    this.metrics = metrics;
  }

  @Override
  public Server build(Environment environment) {
    Server server = super.build(environment);
    CallerConnections connections = CallerConnections.limit(server, limits, metrics);
    server.insertHandler(new BodyReadingHandler(connections, maxBodyBytes));
    server.addEventListener(
        new LifeCycle.Listener() {
          @Override
          public void lifeCycleStarted(LifeCycle started) {
            connections.start(server.getScheduler());
          }
        });
    return server;
  }
}
