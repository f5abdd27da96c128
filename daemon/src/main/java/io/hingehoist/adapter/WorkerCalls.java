package io.hingehoist.adapter;

import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.PollResult;
import io.hingehoist.run.host.StartResult;
import java.util.function.Consumer;

/** Calls the workers on a box. Used on the event loop; each answer comes once, there. */
public interface WorkerCalls {

  /** Orders a run. */
  void start(HostEffect.StartCall call, Consumer<StartResult> answer);

  /**
   * Stops a run.
   *
   * @param answer gets whether the worker said that it was carried out
   */
  void stop(HostEffect.StopCall call, Consumer<Boolean> answer);

  /** Renews a lease and asks for the runs. */
  void hold(HostEffect.PollCall call, Consumer<PollResult> answer);

  /** Closes the connections to an address that no worker uses any more. */
  void forget(String address);
}
