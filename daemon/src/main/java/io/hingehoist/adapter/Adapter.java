package io.hingehoist.adapter;

import io.hingehoist.message.Bytes;
import io.hingehoist.net.EventLoop;
import io.hingehoist.net.HttpHandler;
import io.hingehoist.route.RouteTable;

/**
 * Translates between a platform and hingehoist. Found by {@link java.util.ServiceLoader} under the
 * name that {@code node.adapter} gives. Everything it makes is used on one event loop.
 */
public interface Adapter {

  /** Returns the name that settings call it by. */
  String name();

  /** Returns the routes of a configuration that the control door accepted. */
  RouteTable toRoutes(long version, Bytes configuration);

  /** Serves callers. */
  HttpHandler callerHandler(JobIntake intake);

  /** Serves operators. */
  HttpHandler operatorHandler(OperatorCommands orders);

  /** Serves workers that make themselves known. */
  HttpHandler workerHandler(WorkerRegistry registry);

  /**
   * Makes calls to workers.
   *
   * @param ownAddress the address whose IP number the connections come from
   */
  WorkerCalls workerCalls(EventLoop loop, String ownAddress);
}
