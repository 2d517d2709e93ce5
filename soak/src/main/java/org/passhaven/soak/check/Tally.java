package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Counts the checks of one promise and keeps what broke it. */
public final class Tally {
  private final Promise promise;
  private final List<Finding> findings = new ArrayList<>();
  private long checkCount;

  /** An empty tally. */
  public Tally(Promise promise) {
    this.promise = promise;
  }

  /** Counts one check; where it isn't kept, the text tells what was seen. */
  public void check(
      boolean isKept, long atMillis, String node, String subject, Supplier<String> text) {
    checkCount++;
    if (!isKept) {
      findings.add(new Finding(promise, atMillis, node, subject, text.get()));
    }
  }

  /** The promise. */
  public Promise promise() {
    return promise;
  }

  /** How often it was checked. */
  public long checkCount() {
    return checkCount;
  }

  /** What broke it. */
  public List<Finding> findings() {
    return List.copyOf(findings);
  }
}
