package org.passhaven.simulator.experiment;

import org.passhaven.emulator.load.TrainerModel;
import org.passhaven.emulator.model.EngineSettings;
import org.passhaven.emulator.model.TokenOracle;
import org.passhaven.emulator.site.Site;

/**
 * A lower bound on idle time: what a schedule that knows every length, starts each step as soon as
 * its prompts may be known, and has engines without swaps, queues or messages could reach. No
 * schedule gets below it; whether one reaches it is not claimed.
 */
public final class Oracle {
  private static final double LONE_STEP_SHARE = 0.6;

  private Oracle() {}

  /** Least share of its time that a trainer idles over its whole run. */
  public static double idleFraction(Site site, Site.TrainerLoad load, TrainerModel.Settings shape) {
    int engines =
        site.engineGroups().stream().mapToInt(Site.EngineGroup::count).sum()
            / site.trainers().size();
    double idle = 0;
    double generatedAt = 0;
    double clock = 0;
    double[] beganAt = new double[shape.steps()];
    for (int step = 0; step < shape.steps(); step++) {
      beganAt[step] = clock;
      double submittedAt = beganAt[Math.max(0, step - shape.stepsAhead())];
      double length = millisOf(site.engine(), engines, shape, step);
      generatedAt = Math.max(submittedAt + length, generatedAt);
      idle += Math.max(0, generatedAt - clock);
      clock = Math.max(clock, generatedAt) + load.trainMillis();
    }
    return idle / clock;
  }

  /**
   * Least time for one step alone on all engines: its work spread evenly, or its longest sample.
   */
  private static double millisOf(
      EngineSettings engine, int engines, TrainerModel.Settings shape, int step) {
    double perToken = engine.stepMillis() / (double) engine.tokensPerStep();
    long tokens = 0;
    int longest = 0;
    for (int prompt = 0; prompt < shape.promptsPerStep(); prompt++) {
      for (int sample = 0; sample < shape.samplesPerPrompt(); sample++) {
        int length =
            TokenOracle.length(shape.promptText(step, prompt), shape.promptSeed(prompt) + sample);
        tokens += length;
        longest = Math.max(longest, length);
      }
    }
    double spread = tokens * perToken / ((double) engines * engine.capacity());
    return Math.max(spread, longest * perToken * LONE_STEP_SHARE);
  }
}
