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
 * Reads the blocks of a file in order. Only a window of the file and one part of a block are in
 * memory at a time, whatever the size of the file. Not thread-safe.
 */
final class BlockReader implements Closeable {
  private static final int WINDOW_BYTES = 64 * 1024;

  private final FileChannel channel;
  private final long fileBytes;
  private final ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES);
  private long windowStart;
  private long windowEnd;
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
      Bytes part = partAt(position + Integer.BYTES, intAt(position));
      position += Integer.BYTES + part.size();
      handler.onPart(part);
    }
    offset = end;
    return true;
  }

  /** Returns the offset of a valid block that begins after the next one does, if there is any. */
  OptionalLong findLaterBlock() throws IOException {
    for (long later = offset + 1; later + Blocks.HEADER_BYTES <= fileBytes; later++) {
      if (isBlockAt(later)) {
        return OptionalLong.of(later);
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
    for (long from = position; from < end; from += WINDOW_BYTES) {
      crc.update(read(from, (int) Math.min(WINDOW_BYTES, end - from)));
    }
  }

  private int intAt(long position) throws IOException {
    return read(position, Integer.BYTES).getInt();
  }

  private Bytes partAt(long position, int length) throws IOException {
    byte[] part = new byte[length];
    for (int from = 0; from < length; from += WINDOW_BYTES) {
      int chunk = Math.min(WINDOW_BYTES, length - from);
      read(position + from, chunk).get(part, from, chunk);
    }
    return Bytes.copyOf(part);
  }

  /**
   * Returns some bytes of the file, at most as many as the window has, valid until the next call.
   */
  private ByteBuffer read(long position, int length) throws IOException {
    if (position < windowStart || position + length > windowEnd) {
      moveWindow(position);
    }
    return window.slice((int) (position - windowStart), length);
  }

  private void moveWindow(long position) throws IOException {
    window.clear().limit((int) Math.min(WINDOW_BYTES, fileBytes - position));
    while (window.hasRemaining()) {
      if (channel.read(window, position + window.position()) < 0) {
        throw new EOFException("the file has become shorter while it was read");
      }
    }
    windowStart = position;
    windowEnd = position + window.limit();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
