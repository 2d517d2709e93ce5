package org.passhaven.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePackException;
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
    } catch (IOException | MessagePackException e) {
      throw new CodecException("cannot decode " + type.getSimpleName(), e);
    }
  }
}
