package io.hingehoist.scenario;

/** Holds the context of the scenario that the current thread runs, shared by all its steps. */
final class CurrentScenario {
  private static final ThreadLocal<ScenarioContext> CURRENT =
      ThreadLocal.withInitial(ScenarioContext::new);

  private CurrentScenario() {}

  static ScenarioContext context() {
    return CURRENT.get();
  }

  static void clear() {
    CURRENT.remove();
  }
}
