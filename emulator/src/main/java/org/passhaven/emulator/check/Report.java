package org.passhaven.emulator.check;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** The report of a run, with the stable keys that docs/MEASUREMENTS.md documents. */
@JsonPropertyOrder(alphabetic = true)
public record Report(
    @JsonProperty("site") String site,
    @JsonProperty("policy") String policy,
    @JsonProperty("seed") long seed,
    @JsonProperty("samples_delivered") long samplesDelivered,
    @JsonProperty("samples_missing") long samplesMissing,
    @JsonProperty("samples_duplicated") long samplesDuplicated,
    @JsonProperty("samples_over_bound") long samplesOverBound,
    @JsonProperty("samples_misversioned") long samplesMisversioned,
    @JsonProperty("requests_answered") long requestsAnswered,
    @JsonProperty("requests_misanswered") long requestsMisanswered,
    @JsonProperty("requests_rerun") long requestsRerun,
    @JsonProperty("requests_refused") long requestsRefused,
    @JsonProperty("requests_unknown") long requestsUnknown,
    @JsonProperty("lookups_refused") long lookupsRefused,
    @JsonProperty("refused_but_run") long refusedButRun,
    @JsonProperty("streams_cut") long streamsCut,
    @JsonProperty("work_after_leave") long workAfterLeave,
    @JsonProperty("revision_reverts") long revisionReverts,
    @JsonProperty("trainer_idle_fraction") double trainerIdleFraction,
    @JsonProperty("oracle_idle_fraction") double oracleIdleFraction,
    @JsonProperty("staleness_mean") double stalenessMean,
    @JsonProperty("staleness_max") long stalenessMax,
    @JsonProperty("lookup_p50_ms") double lookupP50Millis,
    @JsonProperty("lookup_p99_ms") double lookupP99Millis,
    @JsonProperty("generated_tokens") long generatedTokens,
    @JsonProperty("wasted_tokens") long wastedTokens,
    @JsonProperty("revision_in_force_ms") long revisionInForceMillis,
    @JsonProperty("control_messages_per_node_s") double controlMessagesPerNodeSecond,
    @JsonProperty("control_bytes_per_node_s") double controlBytesPerNodeSecond,
    @JsonProperty("intent_bytes_per_node_s") double intentBytesPerNodeSecond,
    @JsonProperty("log_records") long logRecords,
    @JsonProperty("log_bytes") long logBytes,
    @JsonProperty("duration_ms") long durationMillis) {
  private static final double ROUNDING = 10_000.0;

  /** Figures beside the checker's findings. */
  public record Figures(
      double idleFraction,
      double oracleIdleFraction,
      long generatedTokens,
      double controlMessagesPerNodeSecond,
      double controlBytesPerNodeSecond,
      double intentBytesPerNodeSecond,
      long logRecords,
      long logBytes,
      long durationMillis) {}

  /** Joins findings and figures. */
  public static Report of(String site, String policy, long seed, Findings found, Figures figures) {
    return new Report(
        site,
        policy,
        seed,
        found.samplesDelivered(),
        found.samplesMissing(),
        found.samplesDuplicated(),
        found.samplesOverBound(),
        found.samplesMisversioned(),
        found.requestsAnswered(),
        found.requestsMisanswered(),
        found.requestsRerun(),
        found.requestsRefused(),
        found.requestsUnknown(),
        found.lookupsRefused(),
        found.refusedButRun(),
        found.streamsCut(),
        found.workAfterLeave(),
        found.revisionReverts(),
        round(figures.idleFraction()),
        round(figures.oracleIdleFraction()),
        round(found.stalenessMean()),
        found.stalenessMax(),
        round(found.lookupP50Millis()),
        round(found.lookupP99Millis()),
        figures.generatedTokens(),
        figures.generatedTokens() - found.deliveredTokens(),
        found.revisionInForceMillis(),
        round(figures.controlMessagesPerNodeSecond()),
        round(figures.controlBytesPerNodeSecond()),
        round(figures.intentBytesPerNodeSecond()),
        figures.logRecords(),
        figures.logBytes(),
        figures.durationMillis());
  }

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

  private static double round(double value) {
    return Math.round(value * ROUNDING) / ROUNDING;
  }
}
