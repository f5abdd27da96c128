/**
 * The steps of the scenarios, over real processes, and the checks that follow each of them.
 *
 * <p>Begin with {@code ScenarioContext}, which the steps share, and {@code Invariants}.
 */
package io.hingehoist.scenario;
