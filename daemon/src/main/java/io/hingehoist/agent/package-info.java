/**
 * The agent beside a backend server: its threads, connections and HTTP.
 *
 * <p>Begin with {@link io.hingehoist.agent.AgentNode}. The decisions are in {@code
 * io.hingehoist.worker}. An agent has to stay within 32 MB, so nothing here uses Dropwizard,
 * Jersey, Guice or Jackson.
 */
package io.hingehoist.agent;
