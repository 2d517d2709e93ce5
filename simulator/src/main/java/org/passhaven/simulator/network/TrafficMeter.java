package org.passhaven.simulator.network;

/** Messages and bytes that nodes sent and received for control, and beside it for data. */
public final class TrafficMeter {
  private long controlMessages;
  private long controlBytes;
  private long dataBytes;
  private long intentBytes;

  /** Counts a control message. */
  public void onControl(long bytes) {
    controlMessages++;
    controlBytes += bytes;
  }

  /**
   * Counts a message to or from the log for a stream of intents: it grows with requests that run at
   * most once.
   */
  public void onIntent(long bytes) {
    intentBytes += bytes;
  }

  /** Bytes for streams of intents so far. */
  public long intentBytes() {
    return intentBytes;
  }

  /** Counts content: prompts, samples, bodies of requests. */
  public void onData(long bytes) {
    dataBytes += bytes;
  }

  /** Control messages so far. */
  public long controlMessages() {
    return controlMessages;
  }

  /** Control bytes so far. */
  public long controlBytes() {
    return controlBytes;
  }

  /** Bytes of content so far. */
  public long dataBytes() {
    return dataBytes;
  }
}
