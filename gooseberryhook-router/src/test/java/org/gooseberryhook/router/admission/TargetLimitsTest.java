package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against limits that begin, last or end other than the answers of the target say. */
class TargetLimitsTest {

  private static final long REPORT_AGE_MS = 1_000;

  private final List<String> changes = new ArrayList<>();
  private TargetEntry listed = target(1);
  private long nowMs = 10_000;
  private final TargetLimits limits =
      new TargetLimits(
          "n",
          new TargetLimits.Nodes() {
            @Override
            public Collection<String> known() {
              return List.of("n");
            }

            @Override
            public long maxReportAgeMs() {
              return REPORT_AGE_MS;
            }
          },
          new SplittableRandom(1),
          (target, before, now, source, share) ->
              changes.add(before.orElse(0) + ">" + now.perSecond().orElse(0)));

  private static TargetEntry target(long startedAtMs) {
    return new TargetEntry(
        "t", "s", "10.0.0.1:80", "a", 9, false, "", Optional.empty(), startedAtMs, 1);
  }

  private Optional<TargetEntry> find(String id) {
    return Optional.of(listed).filter(target -> target.id().equals(id));
  }

  private void answer(OptionalDouble limit, long sentMs, long receivedMs) {
    limits.onAnswer(listed, new LimitObservation(limit, sentMs, receivedMs));
  }

  private void pass(long durationMs) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += 50) {
      limits.tick(this::find, target -> true, nowMs);
    }
  }

  private int takeAll() {
    int taken = 0;
    while (taken < 1_000 && limits.tryTake(listed)) {
      taken++;
    }
    return taken;
  }

  private boolean isLimited() {
    return limits.inForceCount() == 1;
  }

  /** Guards against requests that wait for a permit made up of parts for several targets. */
  @Test
  void partsOfPermitsForSeveralTargetsAreNoPermit() {
    PermitBucket first = new PermitBucket(0.6, 0);
    PermitBucket second = new PermitBucket(0.6, 0);
    assertThat(first.permitsWithin(10_000) + second.permitsWithin(10_000)).isZero();
    first.refill(0.5, 0);
    assertThat(first.permitsWithin(700)).isZero();
    assertThat(first.permitsWithin(900)).isEqualTo(1);
  }

  @Test
  void anAnswerWithoutALimitEndsItOnlyIfItsRequestWasSentLater() {
    answer(OptionalDouble.of(2), 10_000, 10_100);
    answer(OptionalDouble.empty(), 10_050, 10_200);
    assertThat(isLimited()).isTrue();
    answer(OptionalDouble.empty(), LimitObservation.UNKNOWN_TIME_MS, 10_300);
    assertThat(isLimited()).isTrue();
    answer(OptionalDouble.empty(), 10_150, 10_400);
    assertThat(isLimited()).isFalse();
    assertThat(changes).containsExactly("0.0>2.0", "2.0>0.0");
  }

  /** Otherwise requests that overlap without end would keep a limit for ever. */
  @Test
  void overlappingAnswersWithoutALimitDoNotKeepIt() {
    answer(OptionalDouble.of(2), 10_000, 10_100);
    for (long sentMs = 10_010; sentMs < 10_150; sentMs += 10) {
      answer(OptionalDouble.empty(), sentMs, sentMs + 300);
    }
    assertThat(isLimited()).isFalse();
  }

  @Test
  void anAnswerThatWasOvertakenDoesNotBringAnEndedLimitBack() {
    answer(OptionalDouble.of(2), 10_000, 10_100);
    answer(OptionalDouble.empty(), 10_200, 10_300);
    answer(OptionalDouble.of(2), 10_000, 10_150);
    assertThat(isLimited()).isFalse();
  }

  @Test
  void ofOverlappingAnswersTheLowerLimitHolds() {
    answer(OptionalDouble.of(2), 10_000, 10_100);
    answer(OptionalDouble.of(5), 10_050, 10_200);
    assertThat(changes).containsExactly("0.0>2.0");
    answer(OptionalDouble.of(5), 10_210, 10_300);
    assertThat(changes).containsExactly("0.0>2.0", "2.0>5.0");
  }

  @Test
  void aLaterStartOfTheTargetHasNoLimit() {
    answer(OptionalDouble.of(2), 10_000, 10_100);
    pass(100);
    assertThat(limits.hasPermit(listed)).isFalse();
    listed = target(2);
    assertThat(limits.hasPermit(listed)).isTrue();
    pass(100);
    assertThat(limits.inForceCount()).isZero();
    limits.onReports(
        "other",
        Map.of("t", new LimitReport(1, OptionalDouble.of(2), 0, 0, 1, 1)),
        this::find,
        nowMs);
    assertThat(limits.inForceCount()).isZero();
  }

  @Test
  void aNodeThatStartsKeepsToALimitThatAnotherOneReports() {
    limits.onReports(
        "other",
        Map.of("t", new LimitReport(1, OptionalDouble.of(2), 90, 50, 1, 1)),
        this::find,
        nowMs);
    assertThat(limits.hasPermit(listed)).isFalse();
    assertThat(limits.reports(nowMs)).containsKey("t");
    // Guards against a large fleet in which each node passes each change on to all others at once.
    assertThat(limits.revision()).isZero();
  }

  /** Guards against a process that sends at once what it could have sent while it was stopped. */
  @Test
  void nothingAccruesWhileTheProcessIsSuspended() {
    answer(OptionalDouble.of(10), 10_000, 10_000);
    pass(3_000);
    takeAll();
    nowMs += 5_000;
    limits.tick(this::find, target -> true, nowMs);
    assertThat(takeAll()).isZero();
  }

  @Test
  void permitsThatWereNotUsedComeBackButAreNotSavedBeyondTheCapacity() {
    answer(OptionalDouble.of(2), 10_000, 10_000);
    pass(20_000);
    int saved = takeAll();
    assertThat(saved).isBetween(1, 2);
    limits.giveBack(listed);
    assertThat(takeAll()).isEqualTo(1);
    for (int i = 0; i < 50; i++) {
      limits.giveBack(listed);
    }
    assertThat(takeAll()).isLessThanOrEqualTo(2);
  }

  /** Guards against callers who are told to come back late because this node has no share. */
  @Test
  void aNodeWithoutAShareNamesTheTimeInWhichTheOthersHavePermits() {
    limits.onAnswer(listed, new LimitObservation(OptionalDouble.of(2), nowMs, nowMs));
    limits.tick(this::find, target -> false, nowMs);
    assertThat(limits.msUntilPermit(listed)).isEqualTo(500);
  }

  @Test
  void aNodeThatHearsNoOtherUsesOnlyItsPart() {
    LimitShare alone = LimitShare.of("t", 9, "a", 5, Map.of(), List.of("a", "b", "c"));
    assertThat(alone.perSecond()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({
    "4.9, 4.9, AS_NAMED",
    "' 12 ', 12, AS_NAMED",
    "'5, 3', 3, AS_NAMED",
    "'x, 3', 3, AS_NAMED",
    "0, 0.1, TOO_LOW",
    "-0.0, 0.1, TOO_LOW",
    "1e-9, 0.1, TOO_LOW"
  })
  void limitsAreReadAsNamedButNeverBelowTheRateAtWhichTheTargetIsAsked(
      String text, double perSecond, NamedLimit.Verdict verdict) {
    assertThat(NamedLimit.parse(text))
        .isEqualTo(new NamedLimit(OptionalDouble.of(perSecond), verdict));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "-1", "NaN", "9x,", "1..2"})
  void textsThatAreNoNumberNeitherBeginNorEndALimit(String text) {
    NamedLimit named = NamedLimit.parse(text);
    assertThat(named.verdict()).isEqualTo(NamedLimit.Verdict.INVALID);
    assertThat(named.perSecond()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"Infinity", "1e300", "2000000"})
  void veryLargeNumbersLimitNothing(String text) {
    assertThat(NamedLimit.parse(text).verdict()).isEqualTo(NamedLimit.Verdict.UNLIMITED);
  }
}
