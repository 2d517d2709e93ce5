package org.passhaven.soak.plan;

/** Faults that a run has only where they are asked for, in addition to what its seed gives. */
public enum Addition {
  /** Requests that crash the servers that run them, and suspended machines. */
  CRASHES("crashes", "adds requests that crash servers, and suspended machines"),
  /** Open connections to the store and to back ends that go silent for good. */
  SILENT_CONNECTIONS(
      "silent-connections", "adds open connections that go silent for good, also to a calm run"),
  /** Callers that read slowly, and floods by one tenant. */
  HARD_LOAD(
      "hard-load",
      "adds slow readers and floods by one tenant, with uneven servers also to a calm run"),
  /** Zones that the operator evacuates and takes back, one after the other. */
  EVACUATIONS("evacuations", "adds zones that the operator evacuates, also to a calm run"),
  /** Back ends that give some answers twice. */
  SECOND_ANSWERS("second-answers", "adds servers that give some answers twice, also to a calm run"),
  /** Several model servers that crash at once, again and again. */
  CRASH_WAVES(
      "crash-waves",
      "adds several model servers that crash at once, again and again, also to a calm run"),
  /** Back ends that answer without end. */
  ENDLESS_ANSWERS("endless-answers", "adds servers whose answers never end, also to a calm run"),
  /** Back ends that break off some answers, or send something in front of or behind them. */
  BROKEN_ANSWERS(
      "broken-answers",
      "adds servers that break off some answers, and callers that leave early, also to a calm run");

  private final String option;
  private final String description;

  Addition(String option, String description) {
    this.option = option;
    this.description = description;
  }

  /** Returns the name of the command line option that asks for it. */
  public String option() {
    return option;
  }

  /** Returns what the option does, for the command's help. */
  public String description() {
    return description;
  }
}
