package io.hingehoist.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The file operations of the journal; tests substitute implementations that fail. */
public interface Disk {

  /** Returns an implementation that uses the file system of this box. */
  static Disk real() {
    return new Disk() {};
  }

  /** Opens a file for appending, and creates it if it does not exist. */
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

  /** Writes a whole file, so that after a crash either the old or the new content exists. */
  default void writeAtomically(Path path, ByteBuffer content) throws IOException {
    Path temporary = path.resolveSibling(path.getFileName() + ".tmp");
    delete(temporary);
    try (SyncedFile file = openForAppend(temporary)) {
      file.append(content);
      file.sync();
    }
    rename(temporary, path);
    syncFolder(path.getParent());
  }

  /** Renames a file, and replaces the target if it exists. */
  default void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Deletes a file if it exists. */
  default void delete(Path path) throws IOException {
    Files.deleteIfExists(path);
  }

  /** Cuts a file to a size, and returns once the size is on the disk. */
  default void truncate(Path path, long sizeBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
      channel.truncate(sizeBytes);
      channel.force(true);
    }
  }

  /** Syncs a folder, which makes the names of its files durable. */
  default void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
