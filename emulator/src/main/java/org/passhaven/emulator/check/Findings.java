package org.passhaven.emulator.check;

/** What a {@link Checker} counted; docs/MEASUREMENTS.md names the keys. */
public record Findings(
    long samplesDelivered,
    long samplesMissing,
    long samplesDuplicated,
    long samplesOverBound,
    long samplesMisversioned,
    long requestsAnswered,
    long requestsMisanswered,
    long requestsRerun,
    long refusedButRun,
    long streamsCut,
    long workAfterLeave,
    long revisionReverts,
    long requestsRefused,
    long requestsUnknown,
    long lookupsRefused,
    double stalenessMean,
    long stalenessMax,
    double lookupP50Millis,
    double lookupP99Millis,
    long deliveredTokens,
    long revisionInForceMillis) {
  /** Number of broken promises. */
  public long violations() {
    return samplesMissing
        + samplesDuplicated
        + samplesOverBound
        + samplesMisversioned
        + requestsMisanswered
        + requestsRerun
        + refusedButRun
        + streamsCut
        + workAfterLeave
        + revisionReverts;
  }
}
