/** The structured log. Begin with {@link io.hingehoist.log.DecisionLog}. */
package io.hingehoist.log;
