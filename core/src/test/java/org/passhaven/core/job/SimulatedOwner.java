package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.member.ServerUse;

/** Simulated trainer's run with the scheduler of the node that owns it. */
final class SimulatedOwner {
  private static final JobPolicy POLICY = new JobPolicy("llm", 3, false, 1, 0);

  private static final int MAX_REPORTED_SERVERS = 32;
  private static final int MAX_SERVERS_IN_ALL_REPORTS = 60;

  private static final class StepProgress {
    final long startedAtMillis;
    final Map<String, Integer> openItemsByGroup = new HashMap<>();
    int completeGroups;

    StepProgress(long startedAtMillis) {
      this.startedAtMillis = startedAtMillis;
    }
  }

  final String model;
  final Map<Long, FakeModelServer.ServerGeneration> generations = new HashMap<>();
  private final PlacementSimulation simulation;
  private final JobScheduler scheduler;
  private final int groups;
  private final int itemsPerGroup;
  private final int awaitedGroups;
  private final Map<String, Integer> eventsByItem = new HashMap<>();
  private final Map<Long, StepProgress> steps = new HashMap<>();
  private final Set<String> openItemIds = new HashSet<>();

  SimulatedOwner(
      PlacementSimulation simulation,
      String model,
      int groups,
      int itemsPerGroup,
      int awaitedGroups) {
    this.simulation = simulation;
    this.model = model;
    this.groups = groups;
    this.itemsPerGroup = itemsPerGroup;
    this.awaitedGroups = awaitedGroups;
    this.scheduler = new JobScheduler(model, "z");
  }

  int openItems() {
    return openItemIds.size();
  }

  /** Starts a step and announces its weight version. */
  void startStep(long step) {
    simulation.announceVersion(model, step);
    List<JobItem> items = new ArrayList<>();
    StepProgress progress = new StepProgress(simulation.now());
    steps.put(step, progress);
    for (int g = 0; g < groups; g++) {
      String group = model + "-" + step + "-" + g;
      progress.openItemsByGroup.put(group, itemsPerGroup);
      for (int i = 0; i < itemsPerGroup; i++) {
        String id = group + "-" + i;
        int events = simulation.randomEventCount();
        eventsByItem.put(id, events);
        openItemIds.add(id);
        items.add(
            new JobItem(
                id,
                "/p/" + id,
                List.of(),
                new byte[0],
                group,
                simulation.randomLengthHint(events),
                null));
      }
    }
    JobSubmission submission =
        new JobSubmission(
            jobOf(step),
            "h",
            "/p/",
            "",
            model,
            model,
            step,
            simulation.oldestVersion(step),
            awaitedGroups,
            items);
    scheduler.startOrUpdate(new Job(submission, simulation.now()), POLICY, new TextTable(model));
    decide();
  }

  private String jobOf(long step) {
    return model + "-" + step;
  }

  void decide() {
    apply(scheduler.decide(simulation.entries(), simulation.announcedVersions, simulation.now()));
  }

  private void decideSoon() {
    simulation.schedule(1, this::decide);
  }

  /**
   * Reports this owner's generations by server to the other owners, which read it after a delay.
   */
  void reportServerUse(long readDelayMillis, List<SimulatedOwner> owners) {
    List<ServerUse> report =
        scheduler
            .serverView()
            .createReport(MAX_SERVERS_IN_ALL_REPORTS, MAX_REPORTED_SERVERS, simulation.now());
    for (SimulatedOwner other : owners) {
      if (other != this) {
        simulation.schedule(
            readDelayMillis,
            () -> other.scheduler.serverView().onReport(model, 1, report, simulation.now()));
      }
    }
  }

  private void apply(List<JobAction> actions) {
    for (JobAction action : actions) {
      if (action instanceof JobAction.Start start) {
        FakeModelServer server = simulation.server(start.server().incarnation().id());
        simulation.send(
            new PlacementSimulation.Generation(this, start.attempt(), server),
            model,
            (int) start.lastEvent(),
            eventsByItem.get(start.item().id()));
      } else if (action instanceof JobAction.Stop stop) {
        simulation.onStopped(stop.reason());
        FakeModelServer.ServerGeneration generation = generations.remove(stop.attempt());
        generation.generation.modelServer().stop(generation);
      } else if (action instanceof JobAction.Finish finish) {
        onResult(finish.result().job(), finish.result().item());
      }
    }
  }

  private void onResult(String job, String item) {
    openItemIds.remove(item);
    apply(scheduler.onResultRecorded(job, item));
    long step = Long.parseLong(job.substring(job.indexOf('-') + 1));
    String group = item.substring(0, item.lastIndexOf('-'));
    StepProgress progress = steps.get(step);
    if (progress.openItemsByGroup.merge(group, -1, Integer::sum) == 0) {
      onGroupComplete(step, progress);
    }
  }

  private void onGroupComplete(long step, StepProgress progress) {
    progress.completeGroups++;
    long durationMillis = simulation.now() - progress.startedAtMillis;
    if (progress.completeGroups == awaitedGroups) {
      simulation.onStep90PercentComplete(durationMillis);
      simulation.scheduleStep(this, step + 1, simulation.now());
    }
    if (progress.completeGroups == groups) {
      simulation.onStepComplete(durationMillis);
    }
  }

  void onRefused(FakeModelServer.ServerGeneration generation) {
    if (generations.remove(generation.generation.attempt()) != null) {
      apply(
          scheduler.onFailed(
              generation.generation.attempt(), JobScheduler.Failure.REFUSED, simulation.now()));
      decideSoon();
    }
  }

  void onEvent(FakeModelServer.ServerGeneration generation, int event) {
    long attempt = generation.generation.attempt();
    if (generations.get(attempt) != generation) {
      return;
    }
    long version = generation.generation.modelServer().versionOf(model);
    apply(scheduler.onAccepted(attempt, version, simulation.now()));
    apply(scheduler.onEvent(attempt, event, 0, "e", simulation.now()));
  }

  void onCompleted(FakeModelServer.ServerGeneration generation) {
    if (generations.remove(generation.generation.attempt()) != null) {
      apply(scheduler.onCompleted(generation.generation.attempt(), simulation.now()));
      decideSoon();
    }
  }
}
