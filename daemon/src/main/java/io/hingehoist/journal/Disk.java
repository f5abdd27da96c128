package io.hingehoist.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The file operations that the journal needs; tests put a failing one in its place. */
public interface Disk {

  /** Returns the disk of this machine. */
  static Disk real() {
    return new Disk() {};
  }

  /** Opens a file to append to, and creates it where there is none. */
  default SyncedFile openForAppend(Path path) throws IOException {
    FileChannel channel =
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    return new SyncedFile() {
      @Override
      public void append(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  /** Writes a whole file so that after a crash there is either the old one or the new one. */
  default void writeAtomically(Path path, ByteBuffer content) throws IOException {
    Path temporary = path.resolveSibling(path.getFileName() + ".tmp");
    Files.deleteIfExists(temporary);
    try (SyncedFile file = openForAppend(temporary)) {
      file.append(content);
      file.sync();
    }
    Files.move(
        temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder(path.getParent());
  }

  /** Makes the names in a folder durable. */
  default void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
