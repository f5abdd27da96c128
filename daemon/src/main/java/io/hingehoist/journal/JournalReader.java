package io.hingehoist.journal;

import io.hingehoist.message.LogEntry;
import io.hingehoist.replication.DurableState;
import io.hingehoist.replication.LogSnapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads the segments of a journal, and tells a torn tail from damage. Not thread-safe; use {@link
 * #read}.
 */
final class JournalReader {
  private final LogSnapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private long term;
  private String votedFor = "";
  private Optional<Identity> identity = Optional.empty();
  private int blockCount;
  private OptionalLong tornTailOffset = OptionalLong.empty();

  /**
   * Whether the entries read belong to the history of the snapshot. A process that ends between the
   * two files of an installed snapshot leaves the entries that the snapshot replaces.
   */
  private boolean continuesSnapshot = true;

  private JournalReader(LogSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  /** Reads segments, and changes nothing on the disk. */
  static JournalReader read(List<Path> segments, LogSnapshot snapshot) throws IOException {
    JournalReader reader = new JournalReader(snapshot);
    for (Path segment : segments) {
      reader.readSegment(segment, segment.equals(segments.getLast()));
    }
    return reader;
  }

  DurableState state() {
    return new DurableState(term, votedFor, snapshot, entries);
  }

  /** Returns the offset of a torn block at the end of the last segment, if there is one. */
  OptionalLong tornTailOffset() {
    return tornTailOffset;
  }

  /**
   * Returns the identity in the first block of the first segment; empty if anything follows it, as
   * then the replica may have voted or acknowledged entries.
   */
  Optional<Identity> unusedIdentity() {
    return blockCount == 1 ? identity : Optional.empty();
  }

  private void readSegment(Path segment, boolean last) throws IOException {
    try (BlockReader blocks = BlockReader.open(segment)) {
      if (!readBlock(segment, blocks)) {
        // The first block was synced before the segment was renamed into place, so it cannot be
        // torn.
        throw DamageException.at(segment, 0, "the first block is invalid");
      }
      while (blocks.hasRemaining()) {
        if (!readBlock(segment, blocks)) {
          checkTornTail(segment, blocks, last);
          tornTailOffset = OptionalLong.of(blocks.offset());
          return;
        }
      }
    }
  }

  private boolean readBlock(Path segment, BlockReader blocks) throws IOException {
    long offset = blocks.offset();
    blockCount++;
    return blocks.read(step -> applyStep(segment, offset, JournalStep.fromBytes(step)));
  }

  /**
   * Checks that an invalid block is a torn one at the end of the last segment. Any other invalid
   * block was synced earlier, so it is damage.
   */
  private static void checkTornTail(Path segment, BlockReader blocks, boolean last)
      throws IOException {
    if (!last) {
      throw DamageException.at(
          segment, blocks.offset(), "invalid block in a segment that is not the last");
    }
    OptionalLong later = blocks.findLaterBlock();
    if (later.isPresent()) {
      throw DamageException.at(
          segment,
          blocks.offset(),
          "invalid block before a valid one at offset " + later.getAsLong());
    }
  }

  private void applyStep(Path segment, long offset, JournalStep journalStep) throws IOException {
    switch (journalStep) {
      case ResetStep step -> reset(segment, offset, step.snapshotIndex());
      case VoteStep step -> {
        term = step.term();
        votedFor = step.votedFor();
      }
      case TruncateStep step -> truncateFrom(step.fromIndex());
      case EntryStep step -> add(segment, offset, step.entry());
      case IdentityStep step ->
          identity = Optional.of(new Identity(step.replicaId(), step.clusterId(), ""));
      case FoundingStep step -> identity = identity.map(i -> i.ofFirstStart(step.foundingId()));
    }
  }

  private void reset(Path segment, long offset, long snapshotIndex) throws IOException {
    if (snapshotIndex > snapshot.lastIndex()) {
      throw DamageException.at(
          segment, offset, "the snapshot up to entry " + snapshotIndex + " is missing");
    }
    entries.clear();
    continuesSnapshot = true;
  }

  private void truncateFrom(long index) {
    entries.removeIf(entry -> entry.index() >= index);
    continuesSnapshot |= index <= snapshot.lastIndex();
  }

  private void add(Path segment, long offset, LogEntry entry) throws IOException {
    if (entry.index() == snapshot.lastIndex()) {
      continuesSnapshot = entry.term() == snapshot.lastTerm();
    }
    if (entry.index() <= snapshot.lastIndex() || !continuesSnapshot) {
      return;
    }
    long expected = snapshot.lastIndex() + entries.size() + 1;
    if (entry.index() != expected) {
      throw DamageException.at(
          segment, offset, "entry " + entry.index() + " where " + expected + " was expected");
    }
    entries.add(entry);
  }
}
