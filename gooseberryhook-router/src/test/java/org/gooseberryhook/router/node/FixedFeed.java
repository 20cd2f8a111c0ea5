package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gooseberryhook.router.relay.ListPosition;

/**
 * A feed with fixed entries.
 *
 * @param values entries of the list
 * @param change returns the entry that the calls for changes return now; none if empty
 * @param key returns the key of an entry
 */
record FixedFeed<T>(List<T> values, Supplier<Optional<T>> change, Function<T, String> key)
    implements ChangeFeed<T> {
  @Override
  public void readAll(Consumer<FeedResult<T>> onResult) {
    onResult.accept(new FeedResult.Entries<>(toChanges(values), new ListPosition(0, 1)));
  }

  @Override
  public void readChanges(ListPosition after, long waitMs, Consumer<FeedResult<T>> onResult) {
    CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS)
        .execute(
            () ->
                onResult.accept(
                    new FeedResult.Entries<>(toChanges(change.get().stream().toList()), after)));
  }

  private List<FeedResult.Change<T>> toChanges(List<T> entries) {
    List<FeedResult.Change<T>> changes = new ArrayList<>();
    entries.forEach(
        v ->
            changes.add(
                new FeedResult.Change<>(key.apply(v), Optional.of(v), Optional.of(new byte[0]))));
    return changes;
  }

  @Override
  public Optional<T> decode(String entryKey, byte[] content) {
    return values.stream().filter(v -> key.apply(v).equals(entryKey)).findFirst();
  }
}
