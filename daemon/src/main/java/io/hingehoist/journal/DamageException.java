package io.hingehoist.journal;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Says that a file of the durable state is damaged, and where. The replica must not start on it.
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
