package org.passhaven.protocol.crash;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * What nodes tell each other of a request under which servers have ended. Each note stands under a
 * key of its own in a table, until the request is forgotten.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CrashNote.Ended.class, name = "ce"),
  @JsonSubTypes.Type(value = CrashNote.Trial.class, name = "ct")
})
public sealed interface CrashNote {
  /** Divides a key; no fingerprint has it. */
  char DIVIDER = '/';

  /** The request. */
  String fingerprint();

  /** Key of the note; begins with the fingerprint and {@link #DIVIDER}. */
  String key();

  /** The fingerprint that a key begins with. */
  static String fingerprintOf(String key) {
    int end = key.indexOf(DIVIDER);
    return end < 0 ? key : key.substring(0, end);
  }

  /** A server ended while it ran the request. */
  record Ended(String fingerprint, String server) implements CrashNote {
    @Override
    public String key() {
      return fingerprint + DIVIDER + "s" + DIVIDER + server;
    }
  }

  /**
   * A start of a node is to run the request once, to see whether it ends another server. The first
   * trial of a number counts.
   *
   * @param number of the trial of this request, from 1
   */
  record Trial(String fingerprint, int number, String node, long incarnation) implements CrashNote {
    @Override
    public String key() {
      return fingerprint + DIVIDER + "t" + DIVIDER + number;
    }
  }
}
