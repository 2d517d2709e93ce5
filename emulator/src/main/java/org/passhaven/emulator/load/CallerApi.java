package org.passhaven.emulator.load;

import io.smallrye.mutiny.Uni;
import org.passhaven.emulator.check.Checker.Told;

/** What a caller asks of the passhaven node beside it, over HTTP or in the simulator. */
public interface CallerApi {
  /** The final word on a request; {@code body} is empty unless it was answered. */
  record Word(Told told, byte[] body) {}

  /**
   * Sends a request; {@code key} is empty if it has none. Gives outcome unknown if no word came.
   */
  Uni<Word> send(String service, String method, String path, byte[] body, String key);
}
