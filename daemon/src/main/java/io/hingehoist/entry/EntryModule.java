package io.hingehoist.entry;

import com.google.inject.AbstractModule;
import io.hingehoist.metrics.Metrics;

/** Binds the HTTP resources of an entry and their dependencies. */
final class EntryModule extends AbstractModule {
  private final EntryNode entry;
  private final Metrics metrics;

  EntryModule(EntryNode entry, Metrics metrics) {
    this.entry = entry;
    this.metrics = metrics;
  }

  @Override
  protected void configure() {
    bind(EntryNode.class).toInstance(entry);
    bind(Metrics.class).toInstance(metrics);
    bind(JobResource.class);
    bind(OperatorResource.class);
    bind(HealthResource.class);
  }
}
