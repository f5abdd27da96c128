package io.hingehoist.journal;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A file that grows at its end and can be synced. The control thread owns it. */
public interface SyncedFile extends AutoCloseable {

  /** Writes all of the bytes at the end. */
  void append(ByteBuffer bytes) throws IOException;

  /** Returns once everything written is on the disk. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
