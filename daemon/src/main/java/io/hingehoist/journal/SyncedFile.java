package io.hingehoist.journal;

import java.io.IOException;
import java.nio.ByteBuffer;

/** An append-only file that can be synced. Not thread-safe: confined to the control thread. */
public interface SyncedFile extends AutoCloseable {

  /** Appends all of the bytes. */
  void append(ByteBuffer bytes) throws IOException;

  /** Syncs the file, and returns once all written bytes are on the disk. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
