package org.passhaven.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for another thread's work. */
final class Waiting {
  private Waiting() {}

  /** Whether the latch opened within the limit. */
  static boolean await(CountDownLatch latch, Duration limit) {
    try {
      return latch.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
