package io.hingehoist.message;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.HexFormat;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** An immutable sequence of bytes, equal to another one with the same content. Thread-safe. */
public final class Bytes {
  private static final Bytes EMPTY = new Bytes(new byte[0]);

  /**
   * The size of one buffer of an encoder. Most messages have 50 to 200 bytes; a longer one uses
   * several buffers. With the library's default of 8 KB an owner allocated 58 KB per task, a sixth
   * of it for these buffers.
   */
  private static final int BUFFER_BYTES = 256;

  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /** Returns the empty sequence. */
  public static Bytes empty() {
    return EMPTY;
  }

  /** Returns a copy of an array. */
  public static Bytes copyOf(byte[] array) {
    return new Bytes(array.clone());
  }

  /** Returns a copy of an array from {@code from}, inclusive, to {@code to}, exclusive. */
  public static Bytes copyOf(byte[] array, int from, int to) {
    return new Bytes(Arrays.copyOfRange(array, from, to));
  }

  /** Encodes the fields of a value. */
  @FunctionalInterface
  public interface Encoder {
    /** Writes the fields to a packer. */
    void encode(MessagePacker packer) throws IOException;
  }

  /** Returns the encoding of a tag, followed by the fields that an encoder writes. */
  public static Bytes encoded(int tag, Encoder encoder) {
    try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
      packer.packInt(tag);
      encoder.encode(packer);
      return new Bytes(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory cannot fail", e);
    }
  }

  /** Returns the number of bytes. */
  public int size() {
    return content.length;
  }

  /** Returns whether there are no bytes. */
  public boolean isEmpty() {
    return content.length == 0;
  }

  /** Returns a copy as an array. */
  public byte[] toArray() {
    return content.clone();
  }

  /** Returns the underlying array without a copy; callers must not change it. */
  byte[] unsafeArray() {
    return content;
  }

  /** Writes the bytes to a stream, without a copy. */
  public void writeTo(java.io.OutputStream out) throws IOException {
    out.write(content);
  }

  /** Returns the bytes as a read-only buffer, without a copy. */
  public java.nio.ByteBuffer asByteBuffer() {
    return java.nio.ByteBuffer.wrap(content).asReadOnlyBuffer();
  }

  /** Returns a copy of the bytes from {@code from}, inclusive, to {@code to}, exclusive. */
  public Bytes slice(int from, int to) {
    return copyOf(content, from, to);
  }

  /** Writes the bytes as a MessagePack binary. */
  public void encode(MessagePacker packer) throws IOException {
    packer.packBinaryHeader(content.length);
    packer.writePayload(content);
  }

  /** Decodes a MessagePack binary. */
  public static Bytes decode(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackBinaryHeader();
    return new Bytes(Decoding.payload(unpacker, size));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  /** Returns the bytes in hexadecimal; of more than 32 bytes, the first 32 and the size. */
  @Override
  public String toString() {
    int shown = Math.min(content.length, 32);
    String hex = HexFormat.of().formatHex(content, 0, shown);
    return shown == content.length ? hex : hex + "…(" + content.length + " bytes)";
  }
}
