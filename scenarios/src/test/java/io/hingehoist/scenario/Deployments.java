package io.hingehoist.scenario;

/** Holds the deployment of the scenario that a thread runs, for all of its steps. */
final class Deployments {
  private static final ThreadLocal<Deployment> CURRENT = ThreadLocal.withInitial(Deployment::new);

  private Deployments() {}

  static Deployment current() {
    return CURRENT.get();
  }

  static void end() {
    CURRENT.remove();
  }
}
