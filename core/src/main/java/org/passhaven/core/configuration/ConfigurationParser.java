package org.passhaven.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.passhaven.protocol.ConfigurationDocument;

/**
 * Parses and validates configurations: operators' files into documents to be stored, and stored
 * documents into a {@link ConfigurationSnapshot}. If any document is invalid, all are rejected and
 * every error is reported. Thread-safe.
 */
public final class ConfigurationParser {
  /** A configuration file. */
  public record SourceFile(String name, String content) {}

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
  private final ObjectMapper yaml =
      YAMLMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private final ObjectMapper json =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();
  private final Validator validator =
      Validation.byDefaultProvider()
          .configure()
          .messageInterpolator(new ParameterMessageInterpolator())
          .buildValidatorFactory()
          .getValidator();

  /**
   * Parses and validates a whole configuration and returns its documents.
   *
   * @throws ConfigurationException with every error, if there is any
   */
  public List<ConfigurationDocument> parse(List<SourceFile> files) throws ConfigurationException {
    List<String> errors = new ArrayList<>();
    Map<String, ConfigurationDocument> documents = new TreeMap<>();
    for (SourceFile file : files) {
      readFile(file, documents, errors);
    }
    SnapshotBuilder builder = build(documents.values(), errors);
    builder.checkReferences(errors);
    if (!errors.isEmpty()) {
      throw new ConfigurationException(errors);
    }
    return List.copyOf(documents.values());
  }

  /**
   * Builds the snapshot of a revision from its stored documents.
   *
   * @throws ConfigurationException with every error, if there is any
   */
  public ConfigurationSnapshot snapshot(long revision, Collection<ConfigurationDocument> documents)
      throws ConfigurationException {
    List<String> errors = new ArrayList<>();
    SnapshotBuilder builder = build(documents, errors);
    builder.checkReferences(errors);
    if (!errors.isEmpty()) {
      throw new ConfigurationException(errors);
    }
    return new ConfigurationSnapshot(
        revision, builder.trainers, builder.models, builder.services, builder.callers);
  }

  private void readFile(
      SourceFile file, Map<String, ConfigurationDocument> documents, List<String> errors) {
    try (MappingIterator<JsonNode> nodes =
        yaml.readerFor(JsonNode.class).readValues(file.content())) {
      int index = 0;
      while (nodes.hasNextValue()) {
        index++;
        readDocument(file.name() + " document " + index, nodes.nextValue(), documents, errors);
      }
    } catch (IOException | RuntimeException e) {
      errors.add(file.name() + ": not valid YAML: " + firstLine(e));
    }
  }

  private void readDocument(
      String location,
      JsonNode node,
      Map<String, ConfigurationDocument> documents,
      List<String> errors) {
    if (!(node instanceof ObjectNode object)) {
      errors.add(location + ": must be a mapping with keys kind and name");
      return;
    }
    String kind = text(object.remove("kind"));
    String name = text(object.remove("name"));
    if (!Kind.isKnown(kind)) {
      errors.add(location + ": kind: must be one of " + Kind.names());
      return;
    }
    if (!NAME.matcher(name).matches()) {
      errors.add(location + ": name: must match " + NAME.pattern());
      return;
    }
    String key = kind + "/" + name;
    if (documents.putIfAbsent(key, new ConfigurationDocument(key, object.toString())) != null) {
      errors.add(location + ": name: " + key + " is defined twice");
    }
  }

  private SnapshotBuilder build(Collection<ConfigurationDocument> documents, List<String> errors) {
    SnapshotBuilder builder = new SnapshotBuilder();
    for (ConfigurationDocument document : documents) {
      int slash = document.key().indexOf('/');
      String kind = slash < 0 ? "" : document.key().substring(0, slash);
      String name = document.key().substring(slash + 1);
      switch (Kind.of(kind)) {
        case TRAINER -> read(document, TrainerSettings.class, name, builder.trainers, errors);
        case MODEL -> read(document, ModelSettings.class, name, builder.models, errors);
        case SERVICE -> read(document, ServiceSettings.class, name, builder.services, errors);
        case CALLER -> read(document, CallerSettings.class, name, builder.callers, errors);
        case UNKNOWN -> errors.add(document.key() + ": unknown kind");
      }
    }
    return builder;
  }

  private <T> void read(
      ConfigurationDocument document,
      Class<T> type,
      String name,
      Map<String, T> target,
      List<String> errors) {
    try {
      T value = json.readValue(document.json(), type);
      validator.validate(value).stream()
          .map(
              violation ->
                  document.key()
                      + ": "
                      + violation.getPropertyPath()
                      + ": "
                      + violation.getMessage())
          .sorted()
          .forEach(errors::add);
      target.put(name, value);
    } catch (JsonProcessingException e) {
      errors.add(document.key() + ": " + firstLine(e));
    }
  }

  private static String text(JsonNode node) {
    return node != null && node.isTextual() ? node.textValue() : "";
  }

  private static String firstLine(Exception e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }

  private enum Kind {
    TRAINER,
    MODEL,
    SERVICE,
    CALLER,
    UNKNOWN;

    static Kind of(String text) {
      for (Kind kind : values()) {
        if (kind != UNKNOWN && kind.name().toLowerCase(java.util.Locale.ROOT).equals(text)) {
          return kind;
        }
      }
      return UNKNOWN;
    }

    static boolean isKnown(String text) {
      return of(text) != UNKNOWN;
    }

    static String names() {
      return "trainer, model, service, caller";
    }
  }

  private static final class SnapshotBuilder {
    final NavigableMap<String, TrainerSettings> trainers = new TreeMap<>();
    final NavigableMap<String, ModelSettings> models = new TreeMap<>();
    final NavigableMap<String, ServiceSettings> services = new TreeMap<>();
    final NavigableMap<String, CallerSettings> callers = new TreeMap<>();

    void checkReferences(List<String> errors) {
      Map<String, String> trainerOfModel = new TreeMap<>();
      trainers.forEach((name, trainer) -> checkTrainer(name, trainer, trainerOfModel, errors));
    }

    private void checkTrainer(
        String name,
        TrainerSettings trainer,
        Map<String, String> trainerOfModel,
        List<String> errors) {
      if (trainer.model() != null && !models.containsKey(trainer.model())) {
        errors.add("trainer/" + name + ": model: no document model/" + trainer.model());
      }
      String other =
          trainer.model() == null ? null : trainerOfModel.putIfAbsent(trainer.model(), name);
      if (other != null) {
        errors.add("trainer/" + name + ": model: trainer/" + other + " trains this model already");
      }
      if (!trainer.scorer().isEmpty() && !services.containsKey(trainer.scorer())) {
        errors.add("trainer/" + name + ": scorer: no document service/" + trainer.scorer());
      }
    }
  }
}
