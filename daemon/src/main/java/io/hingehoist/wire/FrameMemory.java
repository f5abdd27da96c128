package io.hingehoist.wire;

import io.hingehoist.message.Hello;

/** Accounts for the frame that a connection is receiving. Called on its reader thread. */
interface FrameMemory {
  /** Does not limit a connection. */
  FrameMemory UNLIMITED =
      new FrameMemory() {
        @Override
        public void frameHolds(long bytes) {}

        @Override
        public void frameEnded() {}

        @Override
        public void memberKnown(Hello hello) {}

        @Override
        public void connectionClosed() {}
      };

  /** Supplies the account of a new connection. */
  interface Source {
    /** Returns the account of a connection. */
    FrameMemory of(FrameConnection connection);
  }

  /** Records how much memory the unfinished frame takes. */
  void frameHolds(long bytes);

  /** Records that the frame is complete. */
  void frameEnded();

  /** Records which process the connection belongs to. */
  void memberKnown(Hello hello);

  /** Records that the connection has closed. */
  void connectionClosed();
}
