package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.LogEntry;
import io.hingehoist.metrics.Metrics;
import io.hingehoist.replication.DurableState;
import io.hingehoist.replication.LogSnapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The journal of a control replica, stored as segments of checksummed blocks in one folder.
 *
 * <p>The {@code add} methods collect steps, and {@link #sync} makes them durable together as one
 * block (group commit). After an {@link IOException} the content of the disk is unknown, so the
 * process must stop. Not thread-safe: confined to the control thread.
 */
public final class Journal implements AutoCloseable {
  private static final String SUFFIX = ".journal";

  private final Path folder;
  private final Disk disk;
  private final Metrics metrics;
  private final List<Bytes> unsynced = new ArrayList<>();
  private Identity identity;
  private Optional<DurableState> recovered = Optional.empty();
  private long segmentNumber;
  private long segmentBytes;
  private SyncedFile segment;

  private Journal(Path folder, Disk disk, Metrics metrics) {
    this.folder = folder;
    this.disk = disk;
    this.metrics = metrics;
  }

  /**
   * Opens the journal in a folder, or creates one for a blank replica if the folder has none.
   *
   * @throws DamageException if synced data cannot be read back; the message names the file
   */
  public static Journal open(Path folder, Disk disk, Metrics metrics) throws IOException {
    return open(folder, disk, metrics, "");
  }

  /**
   * Opens the journal in a folder, or creates one for a blank replica if the folder has none.
   *
   * @param foundingId the id of the cluster that a blank replica founds with the others of the
   *     first start; empty if this is not the first start
   * @throws DamageException if synced data cannot be read back; the message names the file
   */
  public static Journal open(Path folder, Disk disk, Metrics metrics, String foundingId)
      throws IOException {
    Journal journal = new Journal(folder, disk, metrics);
    Files.createDirectories(folder);
    if (isBlank(folder)) {
      journal.initialize(DurableState.blank(), Identity.random(foundingId));
    } else {
      journal.recover();
    }
    return journal;
  }

  private static boolean isBlank(Path folder) throws IOException {
    return Identity.read(folder).isEmpty()
        && Folders.listSorted(folder, SUFFIX).isEmpty()
        && Snapshots.isEmpty(folder);
  }

  /**
   * Founds a new cluster whose first replica is stored in this folder.
   *
   * @throws IOException also if the folder already holds the state of a replica
   */
  public static Identity found(
      Path folder, Disk disk, String clusterId, String replicaAddress, long nowMs)
      throws IOException {
    Files.createDirectories(folder);
    if (!isBlank(folder)) {
      throw new IOException(folder + ": already holds the state of a replica");
    }
    Identity identity = Identity.random("").inCluster(clusterId);
    LogEntry first =
        io.hingehoist.replication.Replica.foundingEntry(
            identity.replicaId(), replicaAddress, nowMs);
    DurableState state = new DurableState(1, "", LogSnapshot.empty(), List.of(first));
    try (Journal journal = new Journal(folder, disk, Metrics.create())) {
      journal.initialize(state, identity);
    }
    return identity;
  }

  /**
   * Writes the initial state together with the identity, in one step: after a crash the folder is
   * still blank, or {@link #recover} finds all that a start needs. The identity file follows.
   */
  private void initialize(DurableState state, Identity newIdentity) throws IOException {
    startSegment(0, Optional.of(newIdentity), state.term(), state.votedFor(), state.entries());
    identity = newIdentity;
    identity.write(folder, disk);
    recovered = Optional.of(state);
  }

  /**
   * Reads the folder, and makes durable what it read: the process before may have ended between a
   * write and its sync.
   *
   * <p>The identity file may be missing only while nothing follows the first block of the first
   * segment, which holds the identity, too: before the file is written, the replica neither votes
   * nor acknowledges.
   */
  private void recover() throws IOException {
    List<Path> segments = Folders.listSorted(folder, SUFFIX);
    if (segments.isEmpty()) {
      throw missingFiles();
    }
    JournalReader reader = JournalReader.read(segments, Snapshots.readLatest(folder));
    Optional<Identity> stored = Identity.read(folder);
    identity = stored.or(reader::unusedIdentity).orElseThrow(this::missingFiles);
    openLastSegment(segments.getLast(), reader);
    if (stored.isEmpty()) {
      identity.write(folder, disk);
    }
    recovered = Optional.of(reader.state());
  }

  private void openLastSegment(Path last, JournalReader reader) throws IOException {
    if (reader.tornTailOffset().isPresent()) {
      disk.truncate(last, reader.tornTailOffset().getAsLong());
    }
    segmentNumber = numberOf(last);
    segmentBytes = Files.size(last);
    segment = disk.openForAppend(last);
    segment.sync();
    disk.syncFolder(folder);
  }

  private DamageException missingFiles() {
    return DamageException.at(folder, 0, "the identity file or the journal segments are missing");
  }

  /** Returns the identity of this disk. */
  public Identity identity() {
    return identity;
  }

  /**
   * Returns the state that the disk held when the journal was opened, and drops the reference to
   * it, so that its entries do not stay in memory.
   *
   * @throws IllegalStateException if the state was taken before
   */
  public DurableState takeRecovered() {
    DurableState state =
        recovered.orElseThrow(() -> new IllegalStateException("the state was taken before"));
    recovered = Optional.empty();
    return state;
  }

  /** Binds this disk durably to a cluster. */
  public void joinCluster(String clusterId) throws IOException {
    identity = identity.inCluster(clusterId);
    identity.write(folder, disk);
  }

  /** Adds a vote to the next group commit. */
  public void addVote(long term, String votedFor) {
    unsynced.add(new VoteStep(term, votedFor).toBytes());
  }

  /** Adds entries to the next group commit. */
  public void addEntries(List<LogEntry> entries) {
    entries.forEach(entry -> unsynced.add(new EntryStep(entry).toBytes()));
  }

  /** Adds the removal of all entries from an index onwards to the next group commit. */
  public void addTruncation(long fromIndex) {
    unsynced.add(new TruncateStep(fromIndex).toBytes());
  }

  /** Returns whether there are steps that {@link #sync} has not yet written. */
  public boolean hasUnsynced() {
    return !unsynced.isEmpty();
  }

  /** Writes the added steps as one block, and returns once it is on the disk. */
  public void sync() throws IOException {
    if (unsynced.isEmpty()) {
      return;
    }
    ByteBuffer block = Blocks.toBlock(unsynced);
    unsynced.clear();
    int bytes = block.remaining();
    long startNanos = System.nanoTime();
    segment.append(block);
    segment.sync();
    segmentBytes += bytes;
    metrics.recordSync(bytes, (System.nanoTime() - startNanos) / 1e9);
  }

  /** Returns the size of the current segment in bytes. */
  public long segmentBytes() {
    return segmentBytes;
  }

  /**
   * Saves a snapshot, starts a segment with the entries after it, and deletes older files.
   *
   * @param entriesAfter the entries after the snapshot
   */
  public void saveSnapshot(
      LogSnapshot snapshot, long term, String votedFor, List<LogEntry> entriesAfter)
      throws IOException {
    // Unsynced steps are already part of the state passed in.
    unsynced.clear();
    Snapshots.write(folder, snapshot, disk);
    segment.close();
    startSegment(snapshot.lastIndex(), Optional.empty(), term, votedFor, entriesAfter);
    for (Path old : Folders.listSorted(folder, SUFFIX)) {
      if (numberOf(old) < segmentNumber) {
        disk.delete(old);
      }
    }
    Snapshots.deleteBefore(folder, snapshot.lastIndex(), disk);
  }

  private void startSegment(
      long snapshotIndex,
      Optional<Identity> newIdentity,
      long term,
      String votedFor,
      List<LogEntry> entries)
      throws IOException {
    segmentNumber++;
    List<Bytes> steps = new ArrayList<>();
    newIdentity.ifPresent(i -> steps.addAll(toSteps(i)));
    steps.add(new ResetStep(snapshotIndex).toBytes());
    steps.add(new VoteStep(term, votedFor).toBytes());
    entries.forEach(entry -> steps.add(new EntryStep(entry).toBytes()));
    Path path = folder.resolve("%016d%s".formatted(segmentNumber, SUFFIX));
    ByteBuffer block = Blocks.toBlock(steps);
    segmentBytes = block.remaining();
    disk.writeAtomically(path, block);
    segment = disk.openForAppend(path);
  }

  private static List<Bytes> toSteps(Identity newIdentity) {
    Bytes step = new IdentityStep(newIdentity.replicaId(), newIdentity.clusterId()).toBytes();
    return newIdentity.foundingId().isEmpty()
        ? List.of(step)
        : List.of(step, new FoundingStep(newIdentity.foundingId()).toBytes());
  }

  private static long numberOf(Path segment) {
    String name = segment.getFileName().toString();
    return Long.parseLong(name.substring(0, name.length() - SUFFIX.length()));
  }

  @Override
  public void close() throws IOException {
    segment.close();
  }
}
