package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.LogEntry;
import io.hingehoist.replication.DurableState;
import io.hingehoist.replication.LogSnapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the segments of a journal, truncates a torn tail, and detects damage. Not thread-safe; use
 * {@link #read}.
 */
final class JournalReader {
  private final LogSnapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private long term;
  private String votedFor = "";

  private JournalReader(LogSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  static DurableState read(List<Path> segments, LogSnapshot snapshot) throws IOException {
    JournalReader reader = new JournalReader(snapshot);
    for (Path segment : segments) {
      reader.readSegment(segment, segment.equals(segments.getLast()));
    }
    return new DurableState(reader.term, reader.votedFor, snapshot, reader.entries);
  }

  private void readSegment(Path segment, boolean last) throws IOException {
    ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(segment));
    if (Blocks.read(file, 0).isEmpty()) {
      // The first block was synced before the segment was renamed into place, so it cannot be torn.
      throw DamageException.at(segment, 0, "the first block is invalid");
    }
    int offset = 0;
    while (offset < file.limit()) {
      Optional<List<Bytes>> block = Blocks.read(file, offset);
      if (block.isEmpty()) {
        truncateTornTail(segment, file, offset, last);
        return;
      }
      applyBlock(segment, offset, block.get());
      offset += Blocks.sizeAt(file, offset);
    }
  }

  /**
   * Truncates a torn block at the end of the last segment. Any other invalid block was synced
   * earlier, so it is damage.
   */
  private static void truncateTornTail(Path segment, ByteBuffer file, int offset, boolean last)
      throws IOException {
    if (!last) {
      throw DamageException.at(segment, offset, "invalid block in a segment that is not the last");
    }
    for (int later = offset + 1; later < file.limit(); later++) {
      if (Blocks.read(file, later).isPresent()) {
        throw DamageException.at(
            segment, offset, "invalid block before a valid one at offset " + later);
      }
    }
    try (FileChannel channel = FileChannel.open(segment, StandardOpenOption.WRITE)) {
      channel.truncate(offset);
      channel.force(true);
    }
  }

  private void applyBlock(Path segment, int offset, List<Bytes> steps) throws IOException {
    for (Bytes bytes : steps) {
      switch (JournalStep.fromBytes(bytes)) {
        case ResetStep step -> entries.clear();
        case VoteStep step -> {
          term = step.term();
          votedFor = step.votedFor();
        }
        case TruncateStep step -> truncateFrom(step.fromIndex());
        case EntryStep step -> add(segment, offset, step.entry());
      }
    }
  }

  private void truncateFrom(long index) {
    entries.removeIf(entry -> entry.index() >= index);
  }

  private void add(Path segment, int offset, LogEntry entry) throws IOException {
    if (entry.index() <= snapshot.lastIndex()) {
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
