package org.passhaven.core.configuration;

import java.util.List;

/** Thrown when a configuration is invalid; holds all errors found. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<String> errors;

  /** Creates the exception; each error names the file or document and the violated rule. */
  public ConfigurationException(List<String> errors) {
    super(String.join("; ", errors));
    this.errors = List.copyOf(errors);
  }

  /** Returns all errors. */
  public List<String> errors() {
    return errors;
  }
}
