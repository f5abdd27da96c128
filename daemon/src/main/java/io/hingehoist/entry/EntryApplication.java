package io.hingehoist.entry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.SimpleServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.LoggingFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.hingehoist.limits.ConnectionLimits;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.settings.EntrySection;
import io.hingehoist.wire.Addresses;
import io.prometheus.metrics.exporter.servlet.jakarta.PrometheusMetricsServlet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Server;
import org.slf4j.LoggerFactory;

/**
 * The Dropwizard application that serves the HTTP API of an entry. Its configuration is derived
 * from the validated settings file, not from a file of its own.
 */
public final class EntryApplication extends Application<Configuration> {
  private static final int MAX_THREADS = 256;

  private final EntryNode entry;
  private final Metrics metrics;
  private final ConnectionLimits limits;
  private final CompletableFuture<Server> server = new CompletableFuture<>();

  private EntryApplication(EntryNode entry, Metrics metrics, ConnectionLimits limits) {
    this.entry = entry;
    this.metrics = metrics;
    this.limits = limits;
  }

  /** Starts the HTTP server, and returns once it accepts connections. */
  public static EntryApplication start(EntryNode entry, Metrics metrics, ConnectionLimits limits)
      throws Exception {
    EntryApplication application = new EntryApplication(entry, metrics, limits);
    application.run("server");
    return application;
  }

  @Override
  public String getName() {
    return "hingehoistd";
  }

  /**
   * Sets the level of Dropwizard's own log, which goes through Logback. The log of the process is
   * configured before.
   */
  @Override
  protected void bootstrapLogging() {
    ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
  }

  /** A logging factory that leaves the logging configuration of the process unchanged. */
  private static final class NoOpLoggingFactory implements LoggingFactory {
    @Override
    public void configure(MetricRegistry metricRegistry, String name) {}

    @Override
    public void stop() {}

    @Override
    public void reset() {}
  }

  /**
   * Reports on Dropwizard's admin page the same state as {@code /health/ready} reports to the load
   * balancer.
   */
  private final class LeaseHealthCheck extends HealthCheck {
    @Override
    protected Result check() {
      return entry.isReady() ? Result.healthy() : Result.unhealthy("no fresh lease, or stopping");
    }
  }

  @Override
  public void initialize(Bootstrap<Configuration> bootstrap) {
    bootstrap.setConfigurationFactoryFactory(
        (type, validator, mapper, prefix) -> new PresetConfigurationFactory());
  }

  private final class PresetConfigurationFactory implements ConfigurationFactory<Configuration> {
    @Override
    public Configuration build(ConfigurationSourceProvider provider, String path) {
      return build();
    }

    @Override
    public Configuration build() {
      EntrySection settings = entry.settings();
      HttpConnectorFactory connector = new HttpConnectorFactory();
      connector.setBindHost(Addresses.host(settings.httpAddress()));
      connector.setPort(Addresses.port(settings.httpAddress()));
      SimpleServerFactory factory =
          new LimitedServerFactory(limits, Math.toIntExact(settings.maxBodyBytes()), metrics);
      factory.setConnector(connector);
      factory.setApplicationContextPath("/");
      factory.setAdminContextPath("/admin");
      factory.setMaxThreads(MAX_THREADS);
      factory.setRegisterDefaultExceptionMappers(false);
      LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
      requestLog.setAppenders(List.of());
      factory.setRequestLogFactory(requestLog);
      Configuration configuration = new Configuration();
      configuration.setServerFactory(factory);
      configuration.setLoggingFactory(new NoOpLoggingFactory());
      return configuration;
    }
  }

  @Override
  public void run(Configuration configuration, Environment environment) {
    Injector injector = Guice.createInjector(new EntryModule(entry, metrics));
    var jersey = environment.jersey();
    jersey.register(new BodyLimitFilter(entry.settings().maxBodyBytes()));
    jersey.register(new ErrorMappers.InvalidField());
    jersey.register(new ErrorMappers.BadJson());
    jersey.register(injector.getInstance(JobResource.class));
    jersey.register(injector.getInstance(OperatorResource.class));
    jersey.register(injector.getInstance(HealthResource.class));
    environment.healthChecks().register("lease", new LeaseHealthCheck());
    environment
        .servlets()
        .addServlet("metrics", new PrometheusMetricsServlet(metrics.registry()))
        .addMapping("/metrics");
    environment
        .getObjectMapper()
        .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    environment.lifecycle().addServerLifecycleListener(this::onStarted);
  }

  /** Disables Jetty's own shutdown hook: the planned stop decides when the server stops. */
  private void onStarted(Server started) {
    started.setStopAtShutdown(false);
    server.complete(started);
  }

  /** Stops the HTTP server once the responses in progress are written. */
  public void stop() throws Exception {
    server.join().stop();
  }
}
