package io.hingehoist.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Static methods that the generated decoders share. Each throws an {@link IOException} on malformed
 * input.
 */
public final class Decoding {
  /** The maximum size of one value; a frame is never larger. */
  public static final int MAX_VALUE_BYTES = 64 * 1024 * 1024;

  /**
   * The size of the buffer in which a decoder assembles a string that spans several input buffers.
   * A frame lies in one input buffer, so the string buffer stays unused, but it is allocated for
   * each message that contains a string. With the library's default of 16 KB an owner allocated 58
   * KB per task, a third of it for these buffers.
   */
  private static final int STRING_BUFFER_CHARACTERS = 64;

  private static final MessagePack.UnpackerConfig UNPACKER_CONFIG =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(STRING_BUFFER_CHARACTERS);

  private Decoding() {}

  /** Decodes one part of a message. */
  @FunctionalInterface
  public interface Decoder<T> {
    /** Returns the decoded part. */
    T decode() throws IOException;
  }

  /** Decodes a message of the type that its tag identifies. */
  @FunctionalInterface
  public interface TaggedDecoder<T> {
    /** Returns the decoded message of the type with this tag. */
    T decode(int tag, MessageUnpacker unpacker) throws IOException;
  }

  /** Decodes one message, which must use all of the bytes. */
  public static <T> T whole(Bytes bytes, TaggedDecoder<T> decoder) throws IOException {
    try (MessageUnpacker unpacker = UNPACKER_CONFIG.newUnpacker(bytes.unsafeArray())) {
      int tag = unpacker.unpackInt();
      T value = decoder.decode(tag, unpacker);
      if (unpacker.hasNext()) {
        throw new IOException("trailing bytes after the message with tag " + tag);
      }
      return value;
    } catch (MessagePackException e) {
      throw new IOException("malformed message: " + e.getMessage(), e);
    }
  }

  /** Reads the header of a record and checks the number of its fields. */
  public static void fields(MessageUnpacker unpacker, int expected) throws IOException {
    int found = unpacker.unpackArrayHeader();
    if (found != expected) {
      throw new IOException("expected " + expected + " fields, found " + found);
    }
  }

  /**
   * Decodes a list. Memory is allocated for each item that is present, not for the size in the
   * header.
   */
  public static <T> List<T> list(MessageUnpacker unpacker, Decoder<T> decoder) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<T> items = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      items.add(decoder.decode());
    }
    return items;
  }

  /** Decodes an optional value. */
  public static <T> Optional<T> optional(MessageUnpacker unpacker, Decoder<T> decoder)
      throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    return Optional.of(decoder.decode());
  }

  /** Decodes an enum constant by its position. */
  public static <E extends Enum<E>> E constant(Class<E> type, MessageUnpacker unpacker)
      throws IOException {
    int position = unpacker.unpackInt();
    E[] constants = type.getEnumConstants();
    if (position < 0 || position >= constants.length) {
      throw new IOException("no " + type.getSimpleName() + " constant at position " + position);
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
