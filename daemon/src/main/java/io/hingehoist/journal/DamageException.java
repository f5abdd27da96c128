package io.hingehoist.journal;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a file of the durable state is damaged; the message says where. The replica must not
 * start with it.
 */
public final class DamageException extends IOException {
  private DamageException(String message) {
    super(message);
  }

  /** Returns an exception that names the file and the offset of the damage. */
  public static DamageException at(Path file, long offset, String what) {
    return new DamageException(file + ": damaged at offset " + offset + ": " + what);
  }
}
