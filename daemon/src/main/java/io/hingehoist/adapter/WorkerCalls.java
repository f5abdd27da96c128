package io.hingehoist.adapter;

import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import java.util.function.Consumer;

/**
 * Makes calls to the workers on a box. Not thread-safe: confined to the event loop, on which each
 * result is passed on exactly once.
 */
public interface WorkerCalls {

  /** Calls a worker to start a run. */
  void start(HostEffect.StartCall call, Consumer<StartResult> result);

  /**
   * Calls a worker to stop a run.
   *
   * @param result receives whether the worker confirmed the stop
   */
  void stop(HostEffect.StopCall call, Consumer<Boolean> result);

  /** Renews the lease of a worker and polls the state of its runs. */
  void poll(HostEffect.PollCall call, Consumer<PollResult> result);

  /** Closes the connections to an address that no worker uses any longer. */
  void closeConnections(String address);
}
