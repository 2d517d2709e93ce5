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

/** One trainer's run and the scheduler of the node that owns it, in virtual time. */
final class Runner {
  private static final JobPolicy POLICY = new JobPolicy("llm", 3, false, 1, 0);

  private static final int MAX_USES = 32;
  private static final int MAX_USES_OF_ALL = 60;

  private static final class Step {
    final long begunAt;
    final Map<String, Integer> openByGroup = new HashMap<>();
    int wholeGroups;

    Step(long begunAt) {
      this.begunAt = begunAt;
    }
  }

  final String model;
  final Map<Long, FakeModelServer.Run> generations = new HashMap<>();
  private final PlacementWorld world;
  private final JobScheduler scheduler;
  private final int groups;
  private final int itemsOfGroup;
  private final int wantedGroups;
  private final Map<String, Integer> eventsByItem = new HashMap<>();
  private final Map<Long, Step> steps = new HashMap<>();
  private final Set<String> open = new HashSet<>();

  Runner(PlacementWorld world, String model, int groups, int itemsOfGroup, int wantedGroups) {
    this.world = world;
    this.model = model;
    this.groups = groups;
    this.itemsOfGroup = itemsOfGroup;
    this.wantedGroups = wantedGroups;
    this.scheduler = new JobScheduler(model, "z", (job, item) -> true);
  }

  int openItems() {
    return open.size();
  }

  /** Begins a step and names its weight version. */
  void beginStep(long step) {
    world.name(model, step);
    List<JobItem> items = new ArrayList<>();
    Step begun = new Step(world.now());
    steps.put(step, begun);
    for (int g = 0; g < groups; g++) {
      String group = model + "-" + step + "-" + g;
      begun.openByGroup.put(group, itemsOfGroup);
      for (int i = 0; i < itemsOfGroup; i++) {
        String id = group + "-" + i;
        int events = world.drawEvents();
        eventsByItem.put(id, events);
        open.add(id);
        items.add(
            new JobItem(
                id, "/p/" + id, List.of(), new byte[0], group, world.drawHint(events), null));
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
            world.oldestVersion(step),
            wantedGroups,
            items);
    scheduler.take(new Job(submission, world.now()), POLICY, new TextTable(model));
    decide();
  }

  private String jobOf(long step) {
    return model + "-" + step;
  }

  void decide() {
    apply(scheduler.decide(world.entries(), world.named, world.now()));
  }

  private void decideSoon() {
    world.after(1, this::decide);
  }

  /** Reports this runner's use of servers to the others, which read it after a delay. */
  void share(long readAfterMillis, List<Runner> runners) {
    List<ServerUse> uses = scheduler.serverView().use(MAX_USES_OF_ALL, MAX_USES, world.now());
    for (Runner other : runners) {
      if (other != this) {
        world.after(
            readAfterMillis,
            () -> other.scheduler.serverView().onReport(model, 1, uses, world.now()));
      }
    }
  }

  private void apply(List<JobAction> actions) {
    for (JobAction action : actions) {
      if (action instanceof JobAction.Start start) {
        FakeModelServer server = world.server(start.server().start().id());
        world.send(
            new PlacementWorld.Generation(this, start.attempt(), server),
            model,
            (int) start.lastEvent(),
            eventsByItem.get(start.item().id()));
      } else if (action instanceof JobAction.Stop stop) {
        world.onStopped(stop.why());
        FakeModelServer.Run run = generations.remove(stop.attempt());
        run.generation.server().stop(run);
      } else if (action instanceof JobAction.Finish finish) {
        onListed(finish.result().job(), finish.result().item());
      }
    }
  }

  private void onListed(String job, String item) {
    open.remove(item);
    apply(scheduler.onListed(job, item));
    long step = Long.parseLong(job.substring(job.indexOf('-') + 1));
    String group = item.substring(0, item.lastIndexOf('-'));
    Step work = steps.get(step);
    if (work.openByGroup.merge(group, -1, Integer::sum) == 0) {
      onGroupWhole(step, work);
    }
  }

  private void onGroupWhole(long step, Step work) {
    work.wholeGroups++;
    long took = world.now() - work.begunAt;
    if (work.wholeGroups == wantedGroups) {
      world.onStepWhole90(took);
      world.planStep(this, step + 1, world.now());
    }
    if (work.wholeGroups == groups) {
      world.onStepWhole(took);
    }
  }

  void onRefused(FakeModelServer.Run run) {
    if (generations.remove(run.generation.attempt()) != null) {
      apply(
          scheduler.onFailed(run.generation.attempt(), JobScheduler.Failure.REFUSED, world.now()));
      decideSoon();
    }
  }

  void onEvent(FakeModelServer.Run run, int event) {
    long attempt = run.generation.attempt();
    if (generations.get(attempt) != run) {
      return;
    }
    long version = run.generation.server().versionOf(model);
    apply(scheduler.onBegan(attempt, version, world.now()));
    apply(scheduler.onEvent(attempt, event, 0, "e", world.now()));
  }

  void onWhole(FakeModelServer.Run run) {
    if (generations.remove(run.generation.attempt()) != null) {
      apply(scheduler.onWhole(run.generation.attempt(), world.now()));
      decideSoon();
    }
  }
}
