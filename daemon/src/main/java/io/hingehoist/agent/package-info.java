/**
 * The agent process, which runs beside a backend server: its threads, connections and HTTP client.
 *
 * <p>Start with {@link io.hingehoist.agent.AgentNode}. The task logic is in {@code
 * io.hingehoist.worker}. An agent must stay within 32 MB of memory, so this package does not use
 * Dropwizard, Jersey, Guice or Jackson.
 */
package io.hingehoist.agent;
