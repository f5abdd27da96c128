/**
 * The Cucumber steps of the scenarios, which run real processes, and the invariants that are
 * checked after each scenario.
 *
 * <p>Start with {@code ScenarioContext}, which the steps share, and {@code Invariants}.
 */
package io.hingehoist.scenario;
