/** The structured log. Start with {@link io.hingehoist.log.DecisionLog}. */
package io.hingehoist.log;
