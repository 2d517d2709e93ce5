package org.passhaven.emulator.site;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.passhaven.emulator.site.CheckedYaml.InvalidFileException;

/** Reads the site files that are shipped. */
public final class SiteLoader {
  /** Names of the shipped sites. */
  public static final List<String> SHIPPED = List.of("necpa", "bensalah");

  private SiteLoader() {}

  /** A shipped site. */
  public static Site shipped(String name) throws InvalidFileException {
    return CheckedYaml.parse("site " + name, resource("sites/" + name + "/site.yaml"), Site.class);
  }

  /** The configuration file that goes with a shipped site. */
  public static String shippedConfiguration(String name) throws InvalidFileException {
    return resource("sites/" + name + "/configuration.yaml");
  }

  private static String resource(String path) throws InvalidFileException {
    try (InputStream in = SiteLoader.class.getClassLoader().getResourceAsStream(path)) {
      if (in == null) {
        throw new InvalidFileException("no shipped file " + path + "; sites are " + SHIPPED);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidFileException("shipped file " + path + " can't be read");
    }
  }
}
