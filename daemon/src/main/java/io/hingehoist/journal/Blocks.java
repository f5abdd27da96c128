package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Static helpers that encode and decode checksummed blocks. A block consists of a length, a CRC-32C
 * of length and content, and the content.
 *
 * <p>A block holds one group commit, and the next block is written only after it is synced.
 * Therefore an invalid block at the end of the file was never acknowledged, and an invalid block
 * before a valid one is damage.
 */
final class Blocks {
  static final int HEADER_BYTES = 8;

  private Blocks() {}

  static ByteBuffer toBlock(List<Bytes> parts) {
    int length = parts.stream().mapToInt(part -> Integer.BYTES + part.size()).sum();
    ByteBuffer block = ByteBuffer.allocate(HEADER_BYTES + length);
    block.putInt(length).putInt(0);
    for (Bytes part : parts) {
      block.putInt(part.size()).put(part.asByteBuffer());
    }
    block.flip();
    block.putInt(Integer.BYTES, checksum(block, 0, length));
    return block;
  }

  /** Returns the parts of the block at an offset; empty if there is no complete, valid block. */
  static Optional<List<Bytes>> read(ByteBuffer file, int offset) {
    if (file.limit() - offset < HEADER_BYTES) {
      return Optional.empty();
    }
    int length = file.getInt(offset);
    if (length <= 0 || length > file.limit() - offset - HEADER_BYTES) {
      return Optional.empty();
    }
    if (checksum(file, offset, length) != file.getInt(offset + Integer.BYTES)) {
      return Optional.empty();
    }
    return Optional.of(split(file.slice(offset + HEADER_BYTES, length)));
  }

  static int sizeAt(ByteBuffer file, int offset) {
    return HEADER_BYTES + file.getInt(offset);
  }

  private static List<Bytes> split(ByteBuffer content) {
    List<Bytes> parts = new ArrayList<>();
    while (content.hasRemaining()) {
      byte[] part = new byte[content.getInt()];
      content.get(part);
      parts.add(Bytes.copyOf(part));
    }
    return parts;
  }

  /**
   * Returns the checksum of a block. It covers the length too, so that a run of zeros is not read
   * as a valid empty block.
   */
  private static int checksum(ByteBuffer file, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(file.slice(offset, Integer.BYTES));
    crc.update(file.slice(offset + HEADER_BYTES, length));
    return (int) crc.getValue();
  }
}
