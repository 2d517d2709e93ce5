package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Owners of a run that overlap, whose records land late, twice in content or never, over a log that
 * forgets its beginning: whatever a successor folds joins only generations that continued each
 * other. Drawn from fixed seeds.
 */
class TextRaceTest {
  private static final String RUN = "r";
  private static final int SEEDS = 4_000;
  private static final int STEPS = 40;
  private static final int OWNERS = 3;

  /** One owner, as {@code TextLog} and {@code ItemRun} behave for one item. */
  private static final class Owner {
    final long epoch;
    ItemText text;
    long saved;
    long number;
    int generation;
    long begunBehind;

    Owner(long epoch, ItemText text) {
      this.epoch = epoch;
      this.text = text;
    }
  }

  private final List<TextRecord> log = new ArrayList<>();
  private final List<TextRecord> onTheWay = new ArrayList<>();
  private final List<Owner> owners = new ArrayList<>();
  private int firstKept;
  private int generations;

  private ItemText folded() {
    TextTable table = new TextTable(RUN);
    log.subList(firstKept, log.size()).forEach(table::apply);
    ItemText text = table.remove("j", "x");
    return text == null ? new ItemText() : text;
  }

  private void begin(Owner owner) {
    generations++;
    owner.generation = generations;
    owner.begunBehind = owner.text.lastEvent();
  }

  private void step(Random random) {
    if (owners.isEmpty() || (owners.size() < OWNERS && random.nextInt(8) == 0)) {
      Owner next = new Owner(owners.size() + 1, folded());
      begin(next);
      owners.add(next);
      return;
    }
    Owner owner = owners.get(random.nextInt(owners.size()));
    switch (random.nextInt(9)) {
      case 0, 1, 2 -> generate(owner);
      case 3, 4 -> save(owner, random);
      case 5, 6 -> land(random);
      case 7 -> begin(owner);
      default -> restartOrForget(owner, random);
    }
  }

  /** An event names its number, its generation and the event behind which that one began. */
  private void generate(Owner owner) {
    long event = owner.text.lastEvent() + 1;
    owner.text.append(event, 1, event + " " + owner.generation + " " + owner.begunBehind);
  }

  private void save(Owner owner, Random random) {
    if (owner.text.lastEvent() <= owner.saved) {
      return;
    }
    owner.number++;
    TextPart part = owner.text.partAfter(owner.saved, "j", "x", false);
    onTheWay.add(new TextRecord(RUN, owner.epoch, owner.number, List.of(part)));
    boolean isAnswered = random.nextInt(3) > 0;
    if (isAnswered) {
      log.add(onTheWay.remove(onTheWay.size() - 1));
      owner.saved = owner.text.lastEvent();
    }
  }

  private void land(Random random) {
    if (!onTheWay.isEmpty()) {
      log.add(onTheWay.remove(random.nextInt(onTheWay.size())));
    }
  }

  private void restartOrForget(Owner owner, Random random) {
    if (random.nextBoolean() && firstKept < log.size()) {
      firstKept++;
      return;
    }
    owner.text = new ItemText();
    owner.saved = 0;
    begin(owner);
  }

  private static boolean isJoined(ItemText text) {
    String before = "";
    long number = 0;
    for (String event : text.partAfter(0, "j", "x", false).events()) {
      String[] fields = event.split(" ", -1);
      number++;
      boolean continues = fields[1].equals(before);
      boolean begins = Long.parseLong(fields[2]) == number - 1;
      if (Long.parseLong(fields[0]) != number || !(continues || begins)) {
        return false;
      }
      before = fields[1];
    }
    return true;
  }

  @Test
  void aSuccessorNeverJoinsGenerationsThatDidNotContinueEachOther() {
    long folds = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      TextRaceTest race = new TextRaceTest();
      Random random = new Random(seed);
      for (int i = 0; i < STEPS; i++) {
        race.step(random);
        ItemText text = race.folded();
        folds += text.lastEvent() > 2 ? 1 : 0;
        assertThat("seed " + seed + " step " + i, isJoined(text), is(true));
      }
    }
    assertThat(folds, greaterThan(10_000L));
  }
}
