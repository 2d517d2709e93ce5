package org.passhaven.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
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
    try {
      T message = MAPPER.readValue(bytes, type);
      if (message == null) {
        throw new CodecException("cannot decode " + type.getSimpleName() + ": nothing", null);
      }
      return message;
    } catch (IOException | MessagePackException | StackOverflowError e) {
      throw new CodecException("cannot decode " + type.getSimpleName(), e);
    } catch (OutOfMemoryError e) {
      if (isWhole(bytes)) {
        throw e;
      }
      throw new CodecException("cannot decode " + type.getSimpleName() + ": a wrong length", e);
    }
  }

  /**
   * Returns whether the bytes are one whole value. A value may declare more bytes than there are;
   * the decoder allocates memory for them before it notices.
   */
  private static boolean isWhole(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      return !unpacker.hasNext();
    } catch (IOException | MessagePackException e) {
      return false;
    }
  }
}
