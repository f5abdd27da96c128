package io.hingehoist.daemon;

import java.lang.reflect.Proxy;

/** Static helpers that handle SIGHUP, which ends the JVM if there is no handler. */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs an action on each SIGHUP, on a thread of the JVM. The signal classes are supported but not
   * standard, and the compiler warns about each direct use, so they are called by reflection.
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
      throw new IllegalStateException("this JVM does not support signal handlers", e);
    }
  }
}
