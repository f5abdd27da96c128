package io.hingehoist.wire;

import io.hingehoist.limits.BodyBuffer;
import io.hingehoist.message.Hello;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Accounts for the frame that a connection is receiving. Called on its reader thread. */
interface FrameMemory {
  /** Does not limit a connection. */
  FrameMemory UNLIMITED =
      new FrameMemory() {
        @Override
        public void append(BodyBuffer frame, ByteBuffer piece) {
          frame.append(piece);
        }

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

  /**
   * Appends a piece to the unfinished frame. The memory counts before it is taken.
   *
   * @throws IOException if the connection was closed because the frames hold too much
   */
  void append(BodyBuffer frame, ByteBuffer piece) throws IOException;

  /** Records that the frame is complete. */
  void frameEnded();

  /** Records which process the connection belongs to. */
  void memberKnown(Hello hello);

  /** Records that the connection has closed. */
  void connectionClosed();
}
