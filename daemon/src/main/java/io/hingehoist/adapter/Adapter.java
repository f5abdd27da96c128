package io.hingehoist.adapter;

import io.hingehoist.message.Bytes;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpHandler;
import io.hingehoist.route.RouteTable;

/**
 * Translates between the protocols of a platform and hingehoist. Loaded by {@link
 * java.util.ServiceLoader} and selected by the name in {@code node.adapter}. All objects that it
 * returns are confined to one event loop.
 */
public interface Adapter {

  /** Returns the name by which the settings refer to this adapter. */
  String name();

  /** Returns the routes of a configuration that the operators' handler has accepted. */
  RouteTable toRoutes(long version, Bytes configuration);

  /** Returns the handler for requests of callers. */
  HttpHandler callerHandler(JobIntake intake);

  /** Returns the handler for requests of operators. */
  HttpHandler operatorHandler(OperatorCommands commands);

  /** Returns the handler for registrations and heartbeats of workers. */
  HttpHandler workerHandler(WorkerRegistry registry);

  /**
   * Returns a client for calls to workers.
   *
   * @param ownAddress the address whose IP address outgoing connections are bound to
   */
  WorkerCalls workerCalls(EventLoop loop, String ownAddress);
}
