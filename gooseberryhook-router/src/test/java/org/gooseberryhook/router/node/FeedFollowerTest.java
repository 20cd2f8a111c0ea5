package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhook.router.relay.ListPosition;
import org.gooseberryhook.router.relay.ListUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests how often nodes read a list: a large fleet must not overload the store, and changes such as
 * leaving targets must be noticed in time.
 */
class FeedFollowerTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Long> readNanos = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  @Test
  void aSmallFleetReadsChangesEvery150Ms() {
    assertThat(FeedFollower.delayMs(1)).isEqualTo(150);
    assertThat(FeedFollower.delayMs(9)).isEqualTo(150);
  }

  @Test
  void aFleetOfUpToSixtyNodesMakesAtMost61CallsASecond() {
    for (int nodes = 9; nodes <= 60; nodes++) {
      assertThat(nodes * 1_000.0 / FeedFollower.delayMs(nodes)).isLessThanOrEqualTo(61);
    }
  }

  /** Guards against requests to a leaving target later than 2 s after its entry changed. */
  @Test
  void noFleetReadsLessOftenThanOnceASecond() {
    assertThat(FeedFollower.delayMs(390)).isEqualTo(1_000);
  }

  private FeedFollower<String> startFollower(int nodeCount) {
    FeedFollower<String> follower =
        new FeedFollower<>(
            "list",
            (EventLoop) group.next(),
            new ChangingFeed(),
            new IgnoringListener(),
            () -> nodeCount,
            (kind, attempt, fields) -> {});
    follower.start();
    return follower;
  }

  private long nextReadNanos() throws InterruptedException {
    Long nanos = readNanos.poll(5, TimeUnit.SECONDS);
    assertThat(nanos).isNotNull();
    return nanos;
  }

  @Test
  void aNodeOfALargeFleetWaitsBetweenReads() throws InterruptedException {
    FeedFollower<String> follower = startFollower(60);
    long delayNanos = -nextReadNanos() + nextReadNanos();
    assertThat(delayNanos).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(900));
    follower.stop();
  }

  /** Guards against requests that targets refuse while the node waits to read the new list. */
  @Test
  void aStaleListIsReadAgainBeforeTheDelayEnds() throws Exception {
    FeedFollower<String> follower = startFollower(60);
    final long firstNanos = nextReadNanos();
    Thread.sleep(200);
    group.next().submit(follower::expediteRead).get();
    assertThat(nextReadNanos() - firstNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(900));
    follower.stop();
  }

  /** Guards against a list that is never read again after its source is lost. */
  @Test
  void aReadThatIsExpeditedWhileAnotherNodeRelaysDoesNotEndTheReads() throws Exception {
    FeedFollower<String> follower = startFollower(60);
    nextReadNanos();
    group
        .next()
        .submit(
            () -> {
              follower.setReading(false);
              follower.expediteRead();
              follower.setReading(true);
            })
        .get();
    nextReadNanos();
    follower.stop();
  }

  /** Guards against an entry that falls back to an older state, or returns after its removal. */
  @Test
  void aLateResponseOfTheStoreDoesNotReplaceWhatWasRelayedSince() throws Exception {
    HeldFeed feed = new HeldFeed();
    List<String> applied = new ArrayList<>();
    FeedFollower<String> follower = newFollower(feed, applied);
    follower.start();
    respond(feed.nextCall(), 2, "first");
    Consumer<FeedResult<String>> late = feed.nextCall();
    onLoop(() -> follower.onRelayed(relayed(follower, 4, "newest")));
    respond(late, 3, "second");
    assertThat(applied).containsExactly("first", "newest");
    assertThat(follower.history().position()).isEqualTo(new ListPosition(0, 4));
    respond(feed.nextCall(), 5, "after");
    assertThat(applied).containsExactly("first", "newest", "after");
    follower.stop();
  }

  /** Guards against a list that is never read again after the response to one call was lost. */
  @Test
  void aCallThatNeverEndsIsGivenUpAndTheWholeListRead() throws Exception {
    HeldFeed feed = new HeldFeed();
    List<String> applied = new ArrayList<>();
    FeedFollower<String> follower = newFollower(feed, applied);
    follower.start();
    respond(feed.nextCall(), 2, "first");
    Consumer<FeedResult<String>> lost = feed.nextCall();
    Consumer<FeedResult<String>> next = feed.nextCall();
    assertThat(events).containsExactly("feed-silent");
    assertThat(feed.fullReadCount).isEqualTo(2);
    onLoop(() -> lost.accept(new FeedResult.Failed<>("late")));
    respond(next, 3, "second");
    assertThat(applied).containsExactly("first", "second");
    assertThat(follower.responseCount()).isEqualTo(2);
    assertThat(follower.changeCount()).isEqualTo(2);
    follower.stop();
  }

  /** Guards against a list that is never read again after one change could not be applied. */
  @Test
  void aListIsReadAgainAfterAChangeThatCouldNotBeApplied() throws Exception {
    HeldFeed feed = new HeldFeed();
    FeedFollower<String> follower = newFollower(feed, List.of());
    follower.start();
    respond(feed.nextCall(), 2, "first");
    assertThat(feed.nextCall()).isNotNull();
    assertThat(events).containsExactly("feed-error");
    assertThat(feed.fullReadCount).isEqualTo(2);
    follower.stop();
  }

  /**
   * Guards against a change that another node relayed and that never reaches this one: the history
   * of the list has it already, so no later update or read of changes brings it again.
   */
  @Test
  void aRelayedChangeWhoseListenerFailsIsDeliveredByAReadOfTheWholeList() throws Exception {
    HeldFeed feed = new HeldFeed();
    FailingList applied = new FailingList();
    FeedFollower<String> follower = newFollower(feed, applied);
    follower.start();
    respond(feed.nextCall(), 2, "first");
    final Consumer<FeedResult<String>> pending = feed.nextCall();
    applied.failNext(new StackOverflowError("deep"));
    group.next().submit(() -> follower.onRelayed(relayed(follower, 4, "second"))).await();
    onLoop(() -> pending.accept(new FeedResult.Entries<>(List.of(), new ListPosition(0, 4))));
    Consumer<FeedResult<String>> again = feed.nextCall();
    assertThat(feed.fullReadCount).isEqualTo(2);
    respond(again, 4, "second");
    assertThat(applied).containsExactly("first", "second");
    assertThat(events).containsExactly("feed-error");
    follower.stop();
  }

  /**
   * Guards against an update that is lost whole because one of its entries makes a decoder fail.
   */
  @Test
  void anEntryThatCannotBeDecodedIsLeftOutAndTheOthersAreApplied() throws Exception {
    HeldFeed feed = new HeldFeed();
    List<String> applied = new ArrayList<>();
    FeedFollower<String> follower = newFollower(feed, applied);
    follower.start();
    respond(feed.nextCall(), 2, "first");
    ListUpdate sound = relayed(follower, 4, "second");
    ListUpdate odd = relayed(follower, 4, HeldFeed.ODD);
    List<ListUpdate.ListChange> changes =
        List.of(
            new ListUpdate.ListChange("odd", 4, odd.changes().get(0).content()),
            sound.changes().get(0));
    onLoop(() -> follower.onRelayed(new ListUpdate("list", sound.position(), 0, changes)));
    assertThat(applied).contains("second");
    assertThat(events).containsExactly("entry-left-out");
    follower.stop();
  }

  /** Guards against a list that is no longer followed after a call that failed as it began. */
  @Test
  void aCallThatThrowsIsRepeated() throws Exception {
    HeldFeed feed = new HeldFeed();
    feed.firstError = new IllegalArgumentException("no address");
    List<String> applied = new ArrayList<>();
    FeedFollower<String> follower = newFollower(feed, applied);
    follower.start();
    respond(feed.nextCall(), 2, "first");
    assertThat(applied).containsExactly("first");
    assertThat(events).containsExactly("feed-error");
    follower.stop();
  }

  private FeedFollower<String> newFollower(ChangeFeed<String> feed, List<String> applied) {
    return new FeedFollower<>(
        "list",
        (EventLoop) group.next(),
        feed,
        new RecordingListener(applied),
        () -> 1,
        (kind, attempt, fields) -> events.add(kind));
  }

  private static ListUpdate relayed(FeedFollower<String> follower, long revision, String value) {
    ListUpdate.ListChange change =
        new ListUpdate.ListChange(
            "k", revision, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    ListPosition position = new ListPosition(0, revision);
    return new ListUpdate(follower.name(), Optional.of(position), 0, List.of(change));
  }

  private void onLoop(Runnable action) throws Exception {
    group.next().submit(action).get();
  }

  private void respond(Consumer<FeedResult<String>> call, long revision, String value)
      throws Exception {
    FeedResult.Change<String> change =
        new FeedResult.Change<>(
            "k", Optional.of(value), Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    ListPosition position = new ListPosition(0, revision);
    onLoop(() -> call.accept(new FeedResult.Entries<>(List.of(change), position)));
  }

  /** A feed whose calls wait until the test responds to them. */
  private static final class HeldFeed implements ChangeFeed<String> {
    private static final String ODD = "odd";
    private final BlockingQueue<Consumer<FeedResult<String>>> calls = new LinkedBlockingQueue<>();
    private volatile int fullReadCount;
    private volatile RuntimeException firstError;

    Consumer<FeedResult<String>> nextCall() throws InterruptedException {
      Consumer<FeedResult<String>> call = calls.poll(5, TimeUnit.SECONDS);
      assertThat(call).isNotNull();
      return call;
    }

    @Override
    public void readAll(Consumer<FeedResult<String>> onResult) {
      fullReadCount++;
      if (fullReadCount == 1 && firstError != null) {
        throw firstError;
      }
      calls.add(onResult);
    }

    @Override
    public void readChanges(
        ListPosition after, long waitMs, Consumer<FeedResult<String>> onResult) {
      calls.add(onResult);
    }

    @Override
    public Optional<String> decode(String key, byte[] content) {
      String value = new String(content, StandardCharsets.UTF_8);
      if (value.equals(ODD)) {
        throw new StackOverflowError("nested too deeply");
      }
      return Optional.of(value);
    }
  }

  /** A list to which one value cannot be added. */
  private static final class FailingList extends ArrayList<String> {
    private Error error;

    void failNext(Error newError) {
      error = newError;
    }

    @Override
    public boolean add(String value) {
      if (error != null) {
        Error thrown = error;
        error = null;
        throw thrown;
      }
      return super.add(value);
    }
  }

  /** A listener that adds the values that it receives to a list. */
  private record RecordingListener(List<String> values) implements FeedFollower.Listener<String> {
    @Override
    public void onAll(List<FeedResult.Change<String>> entries) {
      onChanges(entries);
    }

    @Override
    public void onChanges(List<FeedResult.Change<String>> changes) {
      changes.forEach(change -> values.add(change.value().orElse("")));
    }

    @Override
    public void onStoreUnavailable() {}
  }

  /** A feed that returns a change on each read. */
  private final class ChangingFeed implements ChangeFeed<String> {
    private final List<FeedResult.Change<String>> changes =
        List.of(new FeedResult.Change<>("k", Optional.of("v"), Optional.of(new byte[0])));

    @Override
    public void readAll(Consumer<FeedResult<String>> onResult) {
      readNanos.add(System.nanoTime());
      onResult.accept(new FeedResult.Entries<>(changes, new ListPosition(0, 1)));
    }

    @Override
    public void readChanges(
        ListPosition after, long waitMs, Consumer<FeedResult<String>> onResult) {
      readNanos.add(System.nanoTime());
      ListPosition next = new ListPosition(0, after.revision() + 1);
      onResult.accept(new FeedResult.Entries<>(changes, next));
    }

    @Override
    public Optional<String> decode(String key, byte[] content) {
      return Optional.of("v");
    }
  }

  /** A listener that ignores all entries. */
  private static final class IgnoringListener implements FeedFollower.Listener<String> {
    @Override
    public void onAll(List<FeedResult.Change<String>> entries) {}

    @Override
    public void onChanges(List<FeedResult.Change<String>> changes) {}

    @Override
    public void onStoreUnavailable() {}
  }
}
