package io.hingehoist.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A disk in a real folder that ends the process before an operation, and can then lose power.
 *
 * <p>It tracks what is durable: a file has what its last sync covered, a new file lasts with its
 * own sync, and renamed and removed names last once their folder is synced. Of the rest, a loss of
 * power keeps or loses each part independently.
 */
final class InterruptibleDisk implements Disk {

  /** Thrown in place of an operation, as if the process had been killed. */
  static final class Interruption extends RuntimeException {
    Interruption(int operation) {
      super("before operation " + operation);
    }
  }

  private record UnsyncedName(Path from, Path to) {
    private boolean isRemoval() {
      return to == null;
    }
  }

  private final Path folder;
  private final int lastOperation;
  private int operations;
  private final Map<Path, byte[]> durable = new TreeMap<>();
  private final List<UnsyncedName> unsyncedNames = new ArrayList<>();

  private InterruptibleDisk(Path folder, int lastOperation) {
    this.folder = folder;
    this.lastOperation = lastOperation;
  }

  /**
   * Returns a disk whose content is durable, and that carries out a number of operations.
   *
   * @param lastOperation the number of operations after which the next one throws
   */
  static InterruptibleDisk of(Path folder, int lastOperation) throws IOException {
    InterruptibleDisk disk = new InterruptibleDisk(folder, lastOperation);
    disk.durable.putAll(disk.content());
    return disk;
  }

  /** Returns a disk that is not interrupted. */
  static InterruptibleDisk of(Path folder) throws IOException {
    return of(folder, Integer.MAX_VALUE);
  }

  /** Returns the same disk for the next process; what is not synced stays so. */
  InterruptibleDisk restarted(int newLastOperation) {
    InterruptibleDisk disk = new InterruptibleDisk(folder, newLastOperation);
    disk.durable.putAll(durable);
    disk.unsyncedNames.addAll(unsyncedNames);
    return disk;
  }

  /** Returns the number of operations carried out. */
  int operations() {
    return operations;
  }

  private void countOperation() {
    if (operations == lastOperation) {
      throw new Interruption(operations + 1);
    }
    operations++;
  }

  private Map<Path, byte[]> content() throws IOException {
    Map<Path, byte[]> content = new TreeMap<>();
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          content.put(file, Files.readAllBytes(file));
        }
      }
    }
    return content;
  }

  /** Loses power: of what is not synced, each part is kept, lost or torn as the random says. */
  void losePower(Random random) throws IOException {
    Map<Path, byte[]> actual = content();
    for (UnsyncedName name : unsyncedNames) {
      if (random.nextBoolean()) {
        applyDurably(name);
      }
    }
    for (Path file : List.copyOf(durable.keySet())) {
      byte[] written = actual.getOrDefault(file, new byte[0]);
      byte[] synced = durable.get(file);
      if (written.length > synced.length && startsWith(written, synced)) {
        int kept = synced.length + random.nextInt(written.length - synced.length + 1);
        durable.put(file, Arrays.copyOf(written, kept));
      }
    }
    losePower();
  }

  /** Loses power and all that is not synced. */
  void losePower() throws IOException {
    replaceContent();
    unsyncedNames.clear();
  }

  private static boolean startsWith(byte[] content, byte[] prefix) {
    return Arrays.equals(Arrays.copyOf(content, prefix.length), prefix);
  }

  private void replaceContent() throws IOException {
    for (Path file : content().keySet()) {
      Files.delete(file);
    }
    for (Map.Entry<Path, byte[]> file : durable.entrySet()) {
      Files.write(file.getKey(), file.getValue());
    }
  }

  /** Returns the name that a file has on the disk: a renamed one the old, until its folder sync. */
  private Path durableName(Path path) {
    return unsyncedNames.stream()
        .filter(name -> path.equals(name.to()))
        .reduce((first, last) -> last)
        .map(UnsyncedName::from)
        .orElse(path);
  }

  private void applyDurably(UnsyncedName name) {
    byte[] content = durable.remove(name.from());
    if (!name.isRemoval() && content != null) {
      durable.put(name.to(), content);
    }
  }

  @Override
  public SyncedFile openForAppend(Path path) throws IOException {
    countOperation();
    SyncedFile file = Disk.super.openForAppend(path);
    return new SyncedFile() {
      @Override
      public void append(ByteBuffer bytes) throws IOException {
        ByteBuffer firstHalf = bytes.slice(bytes.position(), bytes.remaining() / 2);
        countOperation();
        file.append(firstHalf);
        bytes.position(bytes.position() + firstHalf.limit());
        countOperation();
        file.append(bytes);
      }

      @Override
      public void sync() throws IOException {
        countOperation();
        // A new file under a removed name lasts with its sync.
        unsyncedNames.removeIf(name -> name.isRemoval() && name.from().equals(path));
        durable.put(durableName(path), Files.readAllBytes(path));
      }

      @Override
      public void close() throws IOException {
        file.close();
      }
    };
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    countOperation();
    Disk.super.rename(from, to);
    unsyncedNames.add(new UnsyncedName(from, to));
  }

  @Override
  public void delete(Path path) throws IOException {
    if (Files.exists(path)) {
      countOperation();
      Disk.super.delete(path);
      unsyncedNames.add(new UnsyncedName(path, null));
    }
  }

  @Override
  public void truncate(Path path, long sizeBytes) throws IOException {
    countOperation();
    Disk.super.truncate(path, sizeBytes);
    durable.put(durableName(path), Files.readAllBytes(path));
  }

  @Override
  public void syncFolder(Path synced) throws IOException {
    countOperation();
    unsyncedNames.forEach(this::applyDurably);
    unsyncedNames.clear();
  }
}
