package org.passhaven.node.gateway;

import java.util.Map;
import java.util.Optional;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.route.RouteTable;

/** Parses documents in the platform's store and names the tables that hold them. */
public interface PlatformDocuments {
  /** Returns the name of the table of the operator's documents. */
  String operatorTable();

  /** Returns the name of the table of server entries. */
  String serverTable();

  /** Returns the name of the table where nodes record requests that crashed servers. */
  String crashTable();

  /** Returns whether a document of the operator's table is the configuration. */
  boolean isConfiguration(String key);

  /**
   * Parses a configuration.
   *
   * @throws DocumentException if the document is invalid
   */
  RouteTable parseConfiguration(byte[] document);

  /** Returns the weight versions by model that an operator's document announces; may be empty. */
  Map<String, Long> parseAnnouncedVersions(String key, byte[] document);

  /**
   * Returns the zone that a document of the operator's table evacuates while it exists; empty if it
   * evacuates none.
   */
  default Optional<String> evacuatedZone(String key) {
    return Optional.empty();
  }

  /**
   * Parses a server entry.
   *
   * @throws DocumentException if the document is invalid
   */
  ServerEntry parseServer(String key, byte[] document);

  /** Thrown when a document can't be parsed. */
  final class DocumentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public DocumentException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
