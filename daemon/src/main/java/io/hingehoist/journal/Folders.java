package io.hingehoist.journal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Static helpers that list folders. */
final class Folders {
  private Folders() {}

  /** Returns the files with a suffix, sorted by name. */
  static List<Path> listSorted(Path folder, String suffix) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(suffix)).sorted().toList();
    }
  }
}
