package org.passhaven.node.gateway;

import java.util.Map;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.route.RouteTable;

/** Reads the documents that others keep in the platform's store. */
public interface PlatformDocuments {
  /** Table of the operator's documents. */
  String operatorTable();

  /** Table of the servers' entries. */
  String serverTable();

  /** Table of the nodes' own notes on requests under which servers have ended. */
  String crashTable();

  /** Whether a document of the operator's table is the configuration. */
  boolean isConfiguration(String key);

  /** Reads a configuration; fails with {@link DocumentException}. */
  RouteTable configuration(byte[] document);

  /** Weight version by model that a document of the operator's table names; empty if none. */
  Map<String, Long> namedVersion(String key, byte[] document);

  /** Reads a server's entry; fails with {@link DocumentException}. */
  ServerEntry server(String key, byte[] document);

  /** A document can't be read. */
  final class DocumentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the error. */
    public DocumentException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
