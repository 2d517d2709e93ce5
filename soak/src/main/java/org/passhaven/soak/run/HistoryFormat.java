package org.passhaven.soak.run;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Arrays;
import java.util.stream.Stream;
import org.passhaven.platform.standin.history.Observation;

/** One observation as a line of JSON, named in {@code seen}. */
final class HistoryFormat {
  /** Adds the type's name to each line. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "seen")
  private interface Named {}

  private static final ObjectMapper JSON = mapper();

  private HistoryFormat() {}

  static String write(Observation observation) {
    try {
      return JSON.writerFor(Observation.class).writeValueAsString(observation);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an observation can't be written", e);
    }
  }

  static Observation read(String line) {
    try {
      return JSON.readValue(line, Observation.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no observation: " + line, e);
    }
  }

  private static ObjectMapper mapper() {
    ObjectMapper mapper = JsonMapper.builder().addMixIn(Observation.class, Named.class).build();
    kinds(Observation.class).forEach(mapper::registerSubtypes);
    return mapper;
  }

  private static Stream<Class<?>> kinds(Class<?> sealed) {
    return sealed.isSealed()
        ? Arrays.stream(sealed.getPermittedSubclasses()).flatMap(HistoryFormat::kinds)
        : Stream.of(sealed);
  }
}
