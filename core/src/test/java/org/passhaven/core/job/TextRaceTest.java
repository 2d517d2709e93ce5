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
 * Guards against saved texts that join unrelated generations when owners overlap, appends arrive
 * late, twice or never, and the log drops old records.
 */
class TextRaceTest {
  private static final String RUN = "r";
  private static final int SEEDS = 4_000;
  private static final int STEPS = 40;
  private static final int OWNERS = 3;

  /** Model of how {@code PartialTextLog} and {@link ItemExecution} handle one item of an owner. */
  private static final class Owner {
    final long epoch;
    ItemText text;
    long savedEvents;
    long recordNumber;
    int generation;
    long startedAfterEvent;

    Owner(long epoch, ItemText text) {
      this.epoch = epoch;
      this.text = text;
    }
  }

  private final List<TextRecord> log = new ArrayList<>();
  private final List<TextRecord> inFlight = new ArrayList<>();
  private final List<Owner> owners = new ArrayList<>();
  private int firstRetained;
  private int generations;

  private ItemText replayedText() {
    TextTable table = new TextTable(RUN);
    log.subList(firstRetained, log.size()).forEach(table::apply);
    ItemText text = table.remove("j", "x");
    return text == null ? new ItemText() : text;
  }

  private void startGeneration(Owner owner) {
    generations++;
    owner.generation = generations;
    owner.startedAfterEvent = owner.text.lastEvent();
  }

  private void runRandomStep(Random random) {
    if (owners.isEmpty() || (owners.size() < OWNERS && random.nextInt(8) == 0)) {
      Owner next = new Owner(owners.size() + 1, replayedText());
      startGeneration(next);
      owners.add(next);
      return;
    }
    Owner owner = owners.get(random.nextInt(owners.size()));
    switch (random.nextInt(9)) {
      case 0, 1, 2 -> appendEvent(owner);
      case 3, 4 -> appendRecord(owner, random);
      case 5, 6 -> deliverInFlightRecord(random);
      case 7 -> startGeneration(owner);
      default -> restartTextOrTruncateLog(owner, random);
    }
  }

  /** Appends an event with its number, its generation and the event after which that started. */
  private void appendEvent(Owner owner) {
    long event = owner.text.lastEvent() + 1;
    owner.text.append(event, 1, event + " " + owner.generation + " " + owner.startedAfterEvent);
  }

  private void appendRecord(Owner owner, Random random) {
    if (owner.text.lastEvent() <= owner.savedEvents) {
      return;
    }
    owner.recordNumber++;
    TextPart part = owner.text.partAfter(owner.savedEvents, "j", "x", false);
    inFlight.add(new TextRecord(RUN, owner.epoch, owner.recordNumber, List.of(part)));
    boolean isDelivered = random.nextInt(3) > 0;
    if (isDelivered) {
      log.add(inFlight.remove(inFlight.size() - 1));
      owner.savedEvents = owner.text.lastEvent();
    }
  }

  private void deliverInFlightRecord(Random random) {
    if (!inFlight.isEmpty()) {
      log.add(inFlight.remove(random.nextInt(inFlight.size())));
    }
  }

  private void restartTextOrTruncateLog(Owner owner, Random random) {
    if (random.nextBoolean() && firstRetained < log.size()) {
      firstRetained++;
      return;
    }
    owner.text = new ItemText();
    owner.savedEvents = 0;
    startGeneration(owner);
  }

  private static boolean isConsistent(ItemText text) {
    String previousGeneration = "";
    long number = 0;
    for (String event : text.partAfter(0, "j", "x", false).events()) {
      String[] fields = event.split(" ", -1);
      number++;
      boolean continues = fields[1].equals(previousGeneration);
      boolean begins = Long.parseLong(fields[2]) == number - 1;
      if (Long.parseLong(fields[0]) != number || !(continues || begins)) {
        return false;
      }
      previousGeneration = fields[1];
    }
    return true;
  }

  @Test
  void replayedTextJoinsOnlyGenerationsThatContinueEachOther() {
    long checkedTexts = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      TextRaceTest scenario = new TextRaceTest();
      Random random = new Random(seed);
      for (int i = 0; i < STEPS; i++) {
        scenario.runRandomStep(random);
        ItemText text = scenario.replayedText();
        checkedTexts += text.lastEvent() > 2 ? 1 : 0;
        assertThat("seed " + seed + " step " + i, isConsistent(text), is(true));
      }
    }
    assertThat(checkedTexts, greaterThan(10_000L));
  }
}
