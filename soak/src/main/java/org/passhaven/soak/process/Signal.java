package org.passhaven.soak.process;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Signals that are sent to a process by its id. */
enum Signal {
  STOP,
  CONT,
  TERM,
  KILL;

  private static final long SEND_SECONDS = 5;

  /** Sends it; false if the process is gone. */
  boolean send(long processId) {
    try {
      Process sending =
          new ProcessBuilder("kill", "-" + name(), Long.toString(processId))
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .start();
      return sending.waitFor(SEND_SECONDS, TimeUnit.SECONDS) && sending.exitValue() == 0;
    } catch (IOException e) {
      throw new IllegalStateException("process: the program kill can't be run", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
