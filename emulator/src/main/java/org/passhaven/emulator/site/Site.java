package org.passhaven.emulator.site;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import java.util.List;
import org.passhaven.emulator.model.EngineSettings;

/**
 * Sizes, latencies and load of a site, as its file gives them.
 *
 * @param zones names of zones
 * @param zoneLatencyMicros one-way latency between zones
 * @param clientLatencyMicros one-way latency to clients
 * @param nodesPerZone passhaven nodes in each zone
 * @param weightCopyMillis time in which the weight store sends one copy of a version
 * @param machineListLagMillis age of the machine list
 * @param engineGroups model engines
 * @param services service servers
 * @param trainers load of trainers
 * @param callers load of callers
 */
public record Site(
    @NotBlank String name,
    @NotEmpty List<@NotBlank String> zones,
    @Min(0) long zoneLatencyMicros,
    @Min(0) long clientLatencyMicros,
    @Min(1) int nodesPerZone,
    @Min(0) long weightCopyMillis,
    @Min(0) long machineListLagMillis,
    @NotNull @Valid EngineSettings engine,
    @NotEmpty List<@Valid EngineGroup> engineGroups,
    @NotNull List<@Valid ServiceGroup> services,
    @NotEmpty List<@Valid TrainerLoad> trainers,
    @NotNull List<@Valid CallerLoad> callers) {
  /** Engines that serve one model. */
  public record EngineGroup(@NotBlank String name, @NotBlank String model, @Min(1) int count) {}

  /** Servers of one service; each answers after {@code answerMillis}. */
  public record ServiceGroup(@NotBlank String name, @Min(1) int count, @Min(0) long answerMillis) {}

  /** Load of one trainer; see {@code TrainerModel}. */
  public record TrainerLoad(
      @NotBlank String name,
      @Min(1) int promptsPerStep,
      @Min(1) int samplesPerPrompt,
      @Min(0) long trainMillis,
      @Min(0) int stalenessBound,
      @Min(0) int stepsAhead) {}

  /** Load of the callers of one zone; see {@code CallerModel}. */
  public record CallerLoad(
      @NotBlank String service,
      @Min(1) long periodMillis,
      @Min(0) int oncePercent,
      @Min(0) int repeatPercent) {}

  /** Zone of the {@code index}-th of several machines, spread in turn. */
  public String zoneOf(int index) {
    return zones.get(index % zones.size());
  }
}
