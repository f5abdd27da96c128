package io.hingehoist.adapter;

import io.hingehoist.run.host.HoldAnswer;
import io.hingehoist.run.host.HostEffect;
import io.hingehoist.run.host.StartAnswer;
import java.util.function.Consumer;

/** Calls the workers on a box. Used on the event loop; each answer comes once, there. */
public interface WorkerCalls {

  /** Orders a run. */
  void start(HostEffect.CallStart call, Consumer<StartAnswer> answer);

  /**
   * Stops a run.
   *
   * @param answer gets whether the worker said that it was carried out
   */
  void stop(HostEffect.CallStop call, Consumer<Boolean> answer);

  /** Renews a lease and asks for the runs. */
  void hold(HostEffect.CallHold call, Consumer<HoldAnswer> answer);

  /** Closes the connections to an address that no worker uses any more. */
  void forget(String address);
}
