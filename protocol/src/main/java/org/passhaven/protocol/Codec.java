package org.passhaven.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes and decodes internal messages and log records as MessagePack. Thread-safe. */
public final class Codec {
  private static final ObjectMapper MAPPER =
      new MessagePackMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private Codec() {}

  /** Encodes a message. */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new CodecException("cannot encode " + message.getClass().getSimpleName(), e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws CodecException if the bytes are not a message of {@code type}
   */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    return decode(
        () -> MAPPER.readValue(bytes, type), () -> MessagePack.newDefaultUnpacker(bytes), type);
  }

  /**
   * Decodes a message from its consecutive pieces, without a copy of them in one piece.
   *
   * @throws CodecException if the pieces are not a message of {@code type}
   */
  public static <T> T decode(List<byte[]> pieces, Class<T> type) {
    return decode(
        () -> MAPPER.readValue(joined(pieces), type),
        () -> MessagePack.newDefaultUnpacker(joined(pieces)),
        type);
  }

  private static InputStream joined(List<byte[]> pieces) {
    return new SequenceInputStream(
        Collections.enumeration(pieces.stream().map(ByteArrayInputStream::new).toList()));
  }

  /** Reads a value; may throw any exception of the decoder. */
  private interface Reading<T> {
    T read() throws IOException;
  }

  private static <T> T decode(
      Reading<T> reading, Supplier<MessageUnpacker> unpacker, Class<T> type) {
    try {
      T message = reading.read();
      if (message == null) {
        throw new CodecException("cannot decode " + type.getSimpleName() + ": nothing", null);
      }
      return message;
    } catch (IOException | MessagePackException | StackOverflowError e) {
      throw new CodecException("cannot decode " + type.getSimpleName(), e);
    } catch (OutOfMemoryError e) {
      if (isWhole(unpacker)) {
        throw e;
      }
      throw new CodecException("cannot decode " + type.getSimpleName() + ": a wrong length", e);
    }
  }

  /**
   * Returns whether the bytes are one whole value. A value may declare more bytes than there are;
   * the decoder allocates memory for them before it notices.
   */
  private static boolean isWhole(Supplier<MessageUnpacker> unpacker) {
    try (MessageUnpacker opened = unpacker.get()) {
      opened.skipValue();
      return !opened.hasNext();
    } catch (IOException | MessagePackException e) {
      return false;
    }
  }
}
