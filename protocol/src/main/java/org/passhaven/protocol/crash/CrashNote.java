package org.passhaven.protocol.crash;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A note shared between nodes about a request during which servers crashed. Each note is stored in
 * a table under its own key until the request expires.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CrashNote.Crashed.class, name = "ce"),
  @JsonSubTypes.Type(value = CrashNote.Trial.class, name = "ct")
})
public sealed interface CrashNote {
  /** Separator of the parts of a key; does not occur in fingerprints. */
  char SEPARATOR = '/';

  /** Returns the fingerprint of the request. */
  String fingerprint();

  /** Returns the key of the note; it begins with the fingerprint and {@link #SEPARATOR}. */
  String key();

  /** Returns the fingerprint at the start of a key. */
  static String fingerprintOf(String key) {
    int end = key.indexOf(SEPARATOR);
    return end < 0 ? key : key.substring(0, end);
  }

  /** A server terminated while it ran the request. */
  record Crashed(String fingerprint, String server) implements CrashNote {
    @Override
    public String key() {
      return fingerprint + SEPARATOR + "s" + SEPARATOR + server;
    }
  }

  /**
   * Reservation of a trial: one node incarnation runs the request once, to find out whether it
   * crashes another server. The first note of a trial number wins.
   *
   * @param number number of the trial of this request, from 1
   */
  record Trial(String fingerprint, int number, String node, long incarnation) implements CrashNote {
    @Override
    public String key() {
      return fingerprint + SEPARATOR + "t" + SEPARATOR + number;
    }
  }
}
