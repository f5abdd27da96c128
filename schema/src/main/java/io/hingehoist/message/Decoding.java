package io.hingehoist.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Static helpers of the generated decoders. Each fails with an {@link IOException} on bad input.
 */
public final class Decoding {
  /** The most bytes that one value may take: a frame is never larger. */
  public static final int MAX_VALUE_BYTES = 64 * 1024 * 1024;

  /**
   * Only a text that lies in several buffers is put together in such a decoder's buffer, and frames
   * lie in one; yet it is made for each message that holds a text. With the library's 16 KB an
   * owner allocated 58 KB for each task, a third of it here.
   */
  private static final int TEXT_BUFFER_CHARACTERS = 64;

  private static final MessagePack.UnpackerConfig UNPACKERS =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(TEXT_BUFFER_CHARACTERS);

  private Decoding() {}

  /** Reads one part of a message. */
  @FunctionalInterface
  public interface Decoder<T> {
    /** Returns the next part. */
    T decode() throws IOException;
  }

  /** Reads a message by its tag. */
  @FunctionalInterface
  public interface TaggedDecoder<T> {
    /** Returns the message with a tag. */
    T decode(int tag, MessageUnpacker unpacker) throws IOException;
  }

  /** Reads one message that takes up all of the bytes. */
  public static <T> T whole(Bytes bytes, TaggedDecoder<T> decoder) throws IOException {
    try (MessageUnpacker unpacker = UNPACKERS.newUnpacker(bytes.unsafeArray())) {
      int tag = unpacker.unpackInt();
      T value = decoder.decode(tag, unpacker);
      if (unpacker.hasNext()) {
        throw new IOException("bytes follow the message with tag " + tag);
      }
      return value;
    } catch (MessagePackException e) {
      throw new IOException("not a message: " + e.getMessage(), e);
    }
  }

  /** Checks the number of fields of a record. */
  public static void fields(MessageUnpacker unpacker, int expected) throws IOException {
    int found = unpacker.unpackArrayHeader();
    if (found != expected) {
      throw new IOException("expected " + expected + " fields, found " + found);
    }
  }

  /** Reads a list. Its memory grows with the items that are really there. */
  public static <T> List<T> list(MessageUnpacker unpacker, Decoder<T> decoder) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<T> items = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      items.add(decoder.decode());
    }
    return items;
  }

  /** Reads a value that may be missing. */
  public static <T> Optional<T> optional(MessageUnpacker unpacker, Decoder<T> decoder)
      throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    return Optional.of(decoder.decode());
  }

  /** Reads a constant by its position. */
  public static <E extends Enum<E>> E constant(Class<E> type, MessageUnpacker unpacker)
      throws IOException {
    int position = unpacker.unpackInt();
    E[] constants = type.getEnumConstants();
    if (position < 0 || position >= constants.length) {
      throw new IOException("no " + type.getSimpleName() + " at position " + position);
    }
    return constants[position];
  }

  static byte[] payload(MessageUnpacker unpacker, int size) throws IOException {
    if (size < 0 || size > MAX_VALUE_BYTES) {
      throw new IOException("value of " + size + " bytes is out of range 0 to " + MAX_VALUE_BYTES);
    }
    return unpacker.readPayload(size);
  }
}
