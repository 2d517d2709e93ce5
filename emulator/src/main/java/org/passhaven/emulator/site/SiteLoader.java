package org.passhaven.emulator.site;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/** Reads the site files that are shipped, or an operator's own. */
public final class SiteLoader {
  /** Names of the shipped sites. */
  public static final List<String> SHIPPED = List.of("necpa", "bensalah");

  private static final ObjectMapper YAML =
      YAMLMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();
  private static final Validator VALIDATOR =
      Validation.byDefaultProvider()
          .configure()
          .messageInterpolator(new ParameterMessageInterpolator())
          .buildValidatorFactory()
          .getValidator();

  /** A site that can't be read, with every error. */
  public static final class SiteException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the error. */
    public SiteException(String message) {
      super(message);
    }
  }

  private SiteLoader() {}

  /** A shipped site. */
  public static Site shipped(String name) throws SiteException {
    return parse("site " + name, resource("sites/" + name + "/site.yaml"));
  }

  /** The configuration file that goes with a shipped site. */
  public static String shippedConfiguration(String name) throws SiteException {
    return resource("sites/" + name + "/configuration.yaml");
  }

  /** Reads a site from YAML; {@code source} is named in errors. */
  public static Site parse(String source, String yaml) throws SiteException {
    Site site;
    try {
      site = YAML.readValue(yaml, Site.class);
    } catch (IOException e) {
      throw new SiteException(
          source + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    List<String> errors = new ArrayList<>();
    VALIDATOR
        .validate(site)
        .forEach(
            violation ->
                errors.add(
                    source + ": " + violation.getPropertyPath() + ": " + violation.getMessage()));
    if (!errors.isEmpty()) {
      errors.sort(null);
      throw new SiteException(String.join("\n", errors));
    }
    return site;
  }

  private static String resource(String path) throws SiteException {
    try (InputStream in = SiteLoader.class.getClassLoader().getResourceAsStream(path)) {
      if (in == null) {
        throw new SiteException("no shipped file " + path + "; sites are " + SHIPPED);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new SiteException("shipped file " + path + " can't be read");
    }
  }
}
