package org.passhaven.soak.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * How the process of a node is started.
 *
 * @param node the node's name
 * @param command the program and its arguments
 * @param directory where it starts
 * @param environment its variables; it gets no others
 * @param log file that takes what it writes, life after life
 * @param suspension tells the process which stops its steady clock does not count
 */
public record ProcessSettings(
    String node,
    List<String> command,
    Path directory,
    Map<String, String> environment,
    Path log,
    Suspension suspension) {
  /** Copies. */
  public ProcessSettings {
    command = List.copyOf(command);
    environment = Map.copyOf(environment);
  }
}
