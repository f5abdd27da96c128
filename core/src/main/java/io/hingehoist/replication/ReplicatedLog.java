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

/** The entries after the latest snapshot, held in memory. Owned by its {@link Replica}. */
final class ReplicatedLog {
  /** The term of an index that the log does not hold. */
  static final long UNKNOWN_TERM = -1;

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, ReplicaSet> voterSets = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private LogSnapshot snapshot;

  ReplicatedLog(LogSnapshot snapshot, List<LogEntry> entries) {
    reset(snapshot);
    append(entries);
  }

  /** Forgets everything and starts from a snapshot. */
  void reset(LogSnapshot newSnapshot) {
    snapshot = newSnapshot;
    baseIndex = newSnapshot.lastIndex();
    baseTerm = newSnapshot.lastTerm();
    entries.clear();
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
    return at(index).term();
  }

  LogEntry at(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the voters as of the latest configuration, committed or not. */
  ReplicaSet voters() {
    return voterSets.lastEntry().getValue();
  }

  long votersIndex() {
    return voterSets.lastKey();
  }

  void append(List<LogEntry> added) {
    for (LogEntry entry : added) {
      if (entry.index() != lastIndex() + 1) {
        throw new IllegalStateException(
            "entry " + entry.index() + " does not follow " + lastIndex());
      }
      entries.add(entry);
      if (entry.kind() == EntryKind.CONFIGURATION) {
        voterSets.put(entry.index(), decodeVoters(entry.body()));
      }
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    voterSets.tailMap(index, true).clear();
  }

  /** Drops the entries up to an index, which a snapshot at or after it stands for. */
  void compact(LogSnapshot newSnapshot, long keptEntries) {
    snapshot = newSnapshot;
    long newBase = Math.min(newSnapshot.lastIndex(), lastIndex() - keptEntries);
    if (newBase <= baseIndex) {
      return;
    }
    long newTerm = termAt(newBase);
    Map.Entry<Long, ReplicaSet> votersAtBase = voterSets.floorEntry(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    voterSets.headMap(newBase, false).clear();
    voterSets.putIfAbsent(newBase, votersAtBase.getValue());
    baseIndex = newBase;
    baseTerm = newTerm;
  }

  ReplicaSet votersAt(long index) {
    return voterSets.floorEntry(index).getValue();
  }

  /** Returns entries from an index on, up to about a number of bytes and at least one. */
  List<LogEntry> slice(long fromIndex, long maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    long bytes = 0;
    for (long index = fromIndex; index <= lastIndex() && bytes < maxBytes; index++) {
      LogEntry entry = at(index);
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
      throw new IllegalStateException("a configuration entry does not hold voters", e);
    }
  }
}
