package io.hingehoist.journal;

import io.hingehoist.message.Bytes;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.OptionalLong;
import java.util.zip.CRC32C;

/**
 * Reads the blocks of a file in order. Only one part of a block is in memory at a time, whatever
 * the size of the file. Not thread-safe.
 */
final class BlockReader implements Closeable {
  private static final int BUFFER_BYTES = 64 * 1024;

  private final FileChannel channel;
  private final long fileBytes;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private long offset;

  /** Consumes the parts of a block. */
  @FunctionalInterface
  interface PartHandler {
    /** Handles the next part. */
    void onPart(Bytes part) throws IOException;
  }

  private BlockReader(FileChannel channel, long fileBytes) {
    this.channel = channel;
    this.fileBytes = fileBytes;
  }

  /** Opens a file, at its first block. */
  static BlockReader open(Path file) throws IOException {
    FileChannel channel = FileChannel.open(file, StandardOpenOption.READ);
    return new BlockReader(channel, channel.size());
  }

  /** Returns the offset of the next block. */
  long offset() {
    return offset;
  }

  /** Returns whether there are bytes after the blocks that were read. */
  boolean hasRemaining() {
    return offset < fileBytes;
  }

  /**
   * Passes the parts of the next block to a handler and moves behind the block. Returns false, and
   * does neither, if there is no complete block with a valid checksum.
   */
  boolean read(PartHandler handler) throws IOException {
    if (!isBlockAt(offset)) {
      return false;
    }
    long end = offset + Blocks.HEADER_BYTES + intAt(offset);
    long position = offset + Blocks.HEADER_BYTES;
    while (position < end) {
      byte[] part = new byte[intAt(position)];
      readFully(ByteBuffer.wrap(part), position + Integer.BYTES);
      position += Integer.BYTES + part.length;
      handler.onPart(Bytes.copyOf(part));
    }
    offset = end;
    return true;
  }

  /** Returns the offset of a valid block that begins after the next one does, if there is any. */
  OptionalLong findLaterBlock() throws IOException {
    ByteBuffer window = ByteBuffer.allocate(BUFFER_BYTES);
    for (long start = offset + 1; start < fileBytes; start += BUFFER_BYTES - Integer.BYTES + 1) {
      window.clear().limit((int) Math.min(BUFFER_BYTES, fileBytes - start));
      readFully(window, start);
      for (int i = 0; i + Integer.BYTES <= window.limit(); i++) {
        if (fitsIntoFile(start + i, window.getInt(i)) && isBlockAt(start + i)) {
          return OptionalLong.of(start + i);
        }
      }
    }
    return OptionalLong.empty();
  }

  private boolean isBlockAt(long position) throws IOException {
    if (fileBytes - position < Blocks.HEADER_BYTES) {
      return false;
    }
    int length = intAt(position);
    return fitsIntoFile(position, length)
        && checksum(position, length) == intAt(position + Integer.BYTES);
  }

  private boolean fitsIntoFile(long position, int length) {
    return length > 0 && length <= fileBytes - position - Blocks.HEADER_BYTES;
  }

  private int checksum(long position, int length) throws IOException {
    CRC32C crc = new CRC32C();
    update(crc, position, Integer.BYTES);
    update(crc, position + Blocks.HEADER_BYTES, length);
    return (int) crc.getValue();
  }

  private void update(CRC32C crc, long position, int length) throws IOException {
    long end = position + length;
    for (long from = position; from < end; from += BUFFER_BYTES) {
      buffer.clear().limit((int) Math.min(BUFFER_BYTES, end - from));
      readFully(buffer, from);
      crc.update(buffer.flip());
    }
  }

  private int intAt(long position) throws IOException {
    buffer.clear().limit(Integer.BYTES);
    readFully(buffer, position);
    return buffer.getInt(0);
  }

  private void readFully(ByteBuffer target, long position) throws IOException {
    while (target.hasRemaining()) {
      if (channel.read(target, position + target.position()) < 0) {
        throw new EOFException("the file has become shorter while it was read");
      }
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
