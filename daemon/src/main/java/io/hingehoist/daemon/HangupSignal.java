package io.hingehoist.daemon;

import java.lang.reflect.Proxy;

/** Static helpers for SIGHUP, on which the virtual machine would end without a handler. */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs an action on each SIGHUP, on a thread of the virtual machine. The classes for it are
   * supported but not standard, so that the compiler warns of each direct use; hence by reflection.
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this virtual machine has no handlers of signals", e);
    }
  }
}
