package io.hingehoist.adapter;

import java.util.Optional;
import java.util.ServiceLoader;

/** Static helpers that find adapters. */
public final class Adapters {
  private Adapters() {}

  /** Returns the adapter with the given name; empty if there is none on the class path. */
  public static Optional<Adapter> find(String name) {
    for (Adapter adapter : ServiceLoader.load(Adapter.class)) {
      if (adapter.name().equals(name)) {
        return Optional.of(adapter);
      }
    }
    return Optional.empty();
  }
}
