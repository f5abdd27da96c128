package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import io.hingehoist.message.ReplicaSet;
import io.hingehoist.replication.LogSnapshot;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Static helpers that store each snapshot as a file with one checksummed block. */
final class Snapshots {
  private static final String SUFFIX = ".snapshot";

  private Snapshots() {}

  static void write(Path folder, LogSnapshot snapshot, Disk disk) throws IOException {
    Bytes header = Bytes.encoded(0, packer -> encodeHeader(snapshot, packer));
    ByteBuffer block = Blocks.toBlock(List.of(header, snapshot.state()));
    disk.writeAtomically(fileOf(folder, snapshot.lastIndex()), block);
  }

  private static void encodeHeader(LogSnapshot snapshot, org.msgpack.core.MessagePacker packer)
      throws IOException {
    packer.packLong(snapshot.lastIndex());
    packer.packLong(snapshot.lastTerm());
    snapshot.voters().encode(packer);
  }

  static boolean isEmpty(Path folder) throws IOException {
    return list(folder).isEmpty();
  }

  /** Returns the latest snapshot, or the empty snapshot if there is none. */
  static LogSnapshot readLatest(Path folder) throws IOException {
    List<Path> files = list(folder);
    if (files.isEmpty()) {
      return LogSnapshot.empty();
    }
    Path file = files.getLast();
    List<Bytes> parts = new ArrayList<>();
    try (BlockReader blocks = BlockReader.open(file)) {
      if (!blocks.read(parts::add) || parts.size() != 2) {
        throw DamageException.at(file, 0, "the checksum of the snapshot is wrong");
      }
    }
    Bytes header = parts.get(0);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(header.toArray())) {
      unpacker.unpackInt();
      return new LogSnapshot(
          unpacker.unpackLong(), unpacker.unpackLong(), ReplicaSet.decode(unpacker), parts.get(1));
    }
  }

  static void deleteBefore(Path folder, long index, Disk disk) throws IOException {
    Path oldestKept = fileOf(folder, index);
    for (Path file : list(folder)) {
      if (file.compareTo(oldestKept) < 0) {
        disk.delete(file);
      }
    }
  }

  private static Path fileOf(Path folder, long index) {
    return folder.resolve("%020d%s".formatted(index, SUFFIX));
  }

  private static List<Path> list(Path folder) throws IOException {
    return Folders.listSorted(folder, SUFFIX);
  }
}
