package io.hingehoist.replication;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.EntryKind;
import io.hingehoist.message.LogEntry;
import io.hingehoist.message.ReplicaSet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The log in memory: the entries after the base index, which is at or before the latest snapshot.
 * Not thread-safe: confined to the control thread.
 */
final class ReplicatedLog {
  /** The term returned for an index that the log does not hold. */
  static final long UNKNOWN_TERM = -1;

  private final List<LogEntry> entries = new ArrayList<>();

  /** For each entry, the total size of the bodies up to and including it, since the last reset. */
  private final List<Long> endOffsets = new ArrayList<>();

  private final TreeMap<Long, ReplicaSet> voterSets = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private long baseOffset;
  private LogSnapshot snapshot;

  ReplicatedLog(LogSnapshot snapshot, List<LogEntry> entries) {
    reset(snapshot);
    append(entries);
  }

  /** Discards all entries and restarts from a snapshot. */
  void reset(LogSnapshot newSnapshot) {
    snapshot = newSnapshot;
    baseIndex = newSnapshot.lastIndex();
    baseTerm = newSnapshot.lastTerm();
    baseOffset = 0;
    entries.clear();
    endOffsets.clear();
    voterSets.clear();
    voterSets.put(baseIndex, newSnapshot.voters());
  }

  LogSnapshot snapshot() {
    return snapshot;
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    if (index < baseIndex || index > lastIndex()) {
      return UNKNOWN_TERM;
    }
    return entryAt(index).term();
  }

  LogEntry entryAt(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the voters of the latest configuration entry, committed or not. */
  ReplicaSet voters() {
    return voterSets.lastEntry().getValue();
  }

  long votersIndex() {
    return voterSets.lastKey();
  }

  void append(List<LogEntry> newEntries) {
    for (LogEntry entry : newEntries) {
      if (entry.index() != lastIndex() + 1) {
        throw new IllegalStateException(
            "entry index " + entry.index() + " does not follow last index " + lastIndex());
      }
      endOffsets.add(offsetAt(lastIndex()) + entry.body().size());
      entries.add(entry);
      if (entry.kind() == EntryKind.CONFIGURATION) {
        voterSets.put(entry.index(), decodeVoters(entry.body()));
      }
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    endOffsets.subList((int) (index - baseIndex - 1), endOffsets.size()).clear();
    voterSets.tailMap(index, true).clear();
  }

  /**
   * Drops the entries that a new snapshot covers, except for those at the end of the log that are
   * within both limits.
   */
  void compact(LogSnapshot newSnapshot, long retainedEntries, long retainedBytes) {
    snapshot = newSnapshot;
    long oldestRetained = Math.max(lastIndex() - retainedEntries, lastIndexBefore(retainedBytes));
    long newBaseIndex = Math.min(newSnapshot.lastIndex(), oldestRetained);
    if (newBaseIndex <= baseIndex) {
      return;
    }
    long newBaseTerm = termAt(newBaseIndex);
    long newBaseOffset = offsetAt(newBaseIndex);
    Map.Entry<Long, ReplicaSet> votersAtBase = voterSets.floorEntry(newBaseIndex);
    entries.subList(0, (int) (newBaseIndex - baseIndex)).clear();
    endOffsets.subList(0, (int) (newBaseIndex - baseIndex)).clear();
    voterSets.headMap(newBaseIndex, false).clear();
    voterSets.putIfAbsent(newBaseIndex, votersAtBase.getValue());
    baseIndex = newBaseIndex;
    baseTerm = newBaseTerm;
    baseOffset = newBaseOffset;
  }

  /** Returns the index of the last entry before those at the end that fit into a size. */
  private long lastIndexBefore(long bytes) {
    long index = baseIndex;
    while (bytesBetween(index, lastIndex()) > bytes) {
      index++;
    }
    return index;
  }

  /** Returns the total size of the bodies after an index, up to and including another one. */
  long bytesBetween(long afterIndex, long throughIndex) {
    return offsetAt(throughIndex) - offsetAt(afterIndex);
  }

  private long offsetAt(long index) {
    return index <= baseIndex ? baseOffset : endOffsets.get((int) (index - baseIndex - 1));
  }

  ReplicaSet votersAt(long index) {
    return voterSets.floorEntry(index).getValue();
  }

  /**
   * Returns the entries from an index onwards, at least one if the log holds any, until their
   * bodies reach a total size.
   */
  List<LogEntry> slice(long fromIndex, long maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    long bytes = 0;
    for (long index = fromIndex; index <= lastIndex() && bytes < maxBytes; index++) {
      LogEntry entry = entryAt(index);
      slice.add(entry);
      bytes += entry.body().size();
    }
    return slice;
  }

  static Bytes encodeVoters(ReplicaSet voters) {
    return Bytes.encoded(0, voters::encode);
  }

  private static ReplicaSet decodeVoters(Bytes body) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body.toArray())) {
      unpacker.unpackInt();
      return ReplicaSet.decode(unpacker);
    } catch (IOException e) {
      throw new IllegalStateException("cannot decode the voters of a configuration entry", e);
    }
  }
}
