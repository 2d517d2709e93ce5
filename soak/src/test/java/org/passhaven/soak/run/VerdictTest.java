package org.passhaven.soak.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.soak.check.Finding;
import org.passhaven.soak.check.Promise;

class VerdictTest {
  private static Verdict verdict(Map<Promise, Long> checks, List<Finding> findings) {
    return new Verdict(7, 3, 60_000, true, Map.of(), Map.of(), checks, findings);
  }

  @Test
  void isKeptOnlyIfSomethingWasCheckedAndNothingBroken() {
    Finding finding = new Finding(Promise.JOB_KEPT, 5, "n-1", "job", "is gone");
    assertThat(verdict(Map.of(Promise.JOB_KEPT, 2L), List.of()).isKept(), equalTo(true));
    assertThat(verdict(Map.of(), List.of()).isKept(), equalTo(false));
    assertThat(verdict(Map.of(Promise.JOB_KEPT, 0L), List.of()).isKept(), equalTo(false));
    assertThat(verdict(Map.of(Promise.JOB_KEPT, 2L), List.of(finding)).isKept(), equalTo(false));
  }

  @Test
  void namesWhatWasNeverExercised() {
    Verdict verdict = verdict(Map.of(Promise.JOB_KEPT, 2L), List.of());
    assertThat(verdict.unchecked(), hasItem(Promise.ONE_HOLDER));
    assertThat(verdict.unchecked(), not(hasItem(Promise.JOB_KEPT)));
    assertThat(verdict.lines(), hasItem("seed 7: every promise held"));
  }
}
