package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.protocol.job.JobRecord.RunClaimed;
import org.passhaven.protocol.member.MemberBeat;

/** Guards against runs with two owners, and against runs that no node claims. */
class RunOwnersTest {
  private final HeartbeatTable heartbeats = new HeartbeatTable(1_500);
  private final RunOwners a = new RunOwners("a", 1, run -> "run/" + run);

  private void heartbeat(String node, long incarnation, boolean isAccepting, long now) {
    heartbeats.onHeartbeat(
        new MemberBeat(node, node + ":1", "z", incarnation, isAccepting, 0, 0, 0, 0), now);
  }

  private String firstCandidate(String run) {
    return heartbeats.rankForKey("run/" + run, "a") == 0 ? "a" : "b";
  }

  private String runWithFirstCandidate(String node) {
    for (int i = 0; ; i++) {
      if (firstCandidate("r" + i).equals(node)) {
        return "r" + i;
      }
    }
  }

  @Test
  void firstCandidateClaimsARunWithoutOwner() {
    heartbeat("a", 1, true, 0);
    heartbeat("b", 1, true, 0);
    String run = runWithFirstCandidate("a");
    RunClaimed claim = a.claim(run, heartbeats, 0, 0).orElseThrow();
    assertThat(a.isOwnedHere(run), is(false));
    assertThat(a.apply(claim, 0, 0), is(true));
    assertThat(a.isOwnedHere(run), is(true));
    assertThat(a.ownedRuns(), contains(run));
    assertThat(a.apply(new RunClaimed(run, 2, "b", 1, 1), 1, 0), is(true));
    assertThat(a.ownedRuns(), empty());
  }

  @Test
  void returningNodeDoesNotClaimARunOfALiveOwner() {
    heartbeat("a", 1, true, 0);
    heartbeat("b", 1, true, 0);
    String run = runWithFirstCandidate("a");
    a.apply(new RunClaimed(run, 1, "b", 1, 0), 0, 0);
    assertThat(a.claim(run, heartbeats, 0, 0), equalTo(Optional.empty()));
  }

  @Test
  void runOfARestartedOwnerIsClaimed() {
    heartbeat("a", 1, true, 0);
    heartbeat("b", 1, true, 0);
    String run = runWithFirstCandidate("a");
    a.apply(new RunClaimed(run, 1, "b", 1, 0), 0, 0);
    heartbeat("b", 2, true, 10);
    assertThat(a.claim(run, heartbeats, 1, 10).orElseThrow().epoch(), equalTo(2L));
  }

  @Test
  void secondCandidateWaitsForTheFirst() {
    heartbeat("a", 1, true, 0);
    heartbeat("b", 1, true, 0);
    String run = runWithFirstCandidate("b");
    assertThat(a.claim(run, heartbeats, 0, 0).isPresent(), is(false));
    assertThat(a.claim(run, heartbeats, 0, 199).isPresent(), is(false));
    assertThat(a.claim(run, heartbeats, 0, 200).isPresent(), is(true));
  }

  @Test
  void ownerKeepsItsRunBeforeItsFirstHeartbeatIsRead() {
    heartbeat("a", 1, true, 0);
    heartbeat("b", 1, true, 0);
    String run = runWithFirstCandidate("a");
    a.apply(new RunClaimed(run, 1, "b", 2, 0), 0, 0);
    assertThat(a.claim(run, heartbeats, 0, 900).isPresent(), is(false));
    assertThat(a.claim(run, heartbeats, 0, 1_000).isPresent(), is(true));
  }

  @Test
  void ownerIsGoneOnceALaterIncarnationIsKnown() {
    a.apply(new RunClaimed("r", 1, "b", 1, 0), 0, 0);
    assertThat(a.isOwnerGone("r", heartbeats), is(false));
    heartbeat("b", 1, true, 0);
    assertThat(a.isOwnerGone("r", heartbeats), is(false));
    heartbeat("b", 2, true, 10);
    assertThat(a.isOwnerGone("r", heartbeats), is(true));
    assertThat(a.isOwnerGone("nobody's", heartbeats), is(false));
    a.apply(new RunClaimed("r", 2, "b", 3, 1), 1, 0);
    assertThat(a.isOwnerGone("r", heartbeats), is(false));
  }

  @Test
  void firstOfTwoClaimsInTheLogWins() {
    assertThat(a.apply(new RunClaimed("r", 1, "b", 1, 0), 0, 0), is(true));
    assertThat(a.apply(new RunClaimed("r", 1, "a", 1, 0), 0, 0), is(false));
    assertThat(a.isOwnedHere("r"), is(false));
  }

  @Test
  void leavingNodeClaimsNothing() {
    heartbeat("a", 1, false, 0);
    assertThat(a.claim("r", heartbeats, 0, 5_000).isPresent(), is(false));
  }

  @Test
  void ownerRenewsItsClaimBeforeTheLogDropsIt() {
    heartbeat("a", 1, true, 0);
    String run = runWithFirstCandidate("a");
    a.apply(a.claim(run, heartbeats, 0, 0).orElseThrow(), 0, 0);
    assertThat(a.renewals(5_000, stream -> 40, 4_999), empty());
    RunClaimed renewal = a.renewals(5_000, stream -> 40, 5_000).get(0);
    assertThat(renewal, equalTo(new RunClaimed(run, 1, "a", 1, 40)));
    assertThat(a.apply(renewal, 41, 5_010), is(false));
    assertThat(a.isOwnedHere(run), is(true));
    assertThat(a.renewals(5_000, stream -> 40, 6_000), empty());
  }

  @Test
  void renewalNamesTheOwnerAfterTheClaimWasDropped() {
    a.onGap("run/r");
    assertThat(a.apply(new RunClaimed("r", 7, "b", 1, 300), 310, 0), is(true));
    assertThat(a.epochOf("r"), equalTo(7L));
  }

  @Test
  void claimAfterAGapHasAHigherEpochThanAnyUsedBefore() {
    heartbeat("a", 1, true, 0);
    a.onGap("run/r");
    RunClaimed claim = a.claim("r", heartbeats, 500, 0).orElseThrow();
    assertThat(claim.epoch(), equalTo(501L));
  }

  @Test
  void claimThatMissedTheOwnersRenewalIsIgnored() {
    a.apply(new RunClaimed("r", 1, "b", 1, 0), 10, 0);
    a.apply(new RunClaimed("r", 1, "b", 1, 0), 700, 0);
    assertThat(a.apply(new RunClaimed("r", 601, "c", 1, 600), 701, 0), is(false));
    assertThat(a.apply(new RunClaimed("r", 802, "c", 1, 801), 802, 0), is(true));
  }
}
