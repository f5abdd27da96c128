package io.hingehoist.scenario;

/** Holds the deployment of the scenario that a thread runs, for all of its steps. */
final class CurrentScenario {
  private static final ThreadLocal<ScenarioContext> CURRENT =
      ThreadLocal.withInitial(ScenarioContext::new);

  private CurrentScenario() {}

  static ScenarioContext current() {
    return CURRENT.get();
  }

  static void end() {
    CURRENT.remove();
  }
}
