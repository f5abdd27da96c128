package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Static helpers that encode checksummed blocks; {@link BlockReader} reads them. A block consists
 * of a length, a CRC-32C of length and content, and the content.
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
    block.putInt(Integer.BYTES, checksum(block, length));
    return block;
  }

  /**
   * Returns the checksum of a block. It covers the length too, so that a run of zeros is not read
   * as a valid empty block.
   */
  private static int checksum(ByteBuffer block, int length) {
    CRC32C crc = new CRC32C();
    crc.update(block.slice(0, Integer.BYTES));
    crc.update(block.slice(HEADER_BYTES, length));
    return (int) crc.getValue();
  }
}
