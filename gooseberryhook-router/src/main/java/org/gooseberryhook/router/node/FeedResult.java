package org.gooseberryhook.router.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.relay.ListPosition;

/**
 * Result of a call to a {@link ChangeFeed}.
 *
 * @param <T> type of the entries
 */
public sealed interface FeedResult<T> {

  /**
   * An entry of the list that was read or has changed.
   *
   * @param key key of the entry
   * @param value the entry; empty if it was removed or is invalid
   * @param content stored bytes of the entry, which other nodes can decode; empty if it was removed
   * @param defect why the entry is invalid, in at most {@link #MAX_DEFECT_CHARACTERS}; empty if it
   *     is not
   * @param <T> type of the entry
   */
  record Change<T>(
      String key, Optional<T> value, Optional<byte[]> content, Optional<String> defect) {

    /**
     * Maximum length of an entry's content; the platform's store takes at most 1 MB in a write. A
     * longer one is neither kept nor relayed.
     */
    static final int MAX_CONTENT_BYTES = 1_048_576;

    /** Maximum length of a reason, which is logged. */
    static final int MAX_DEFECT_CHARACTERS = 200;

    /**
     * Creates a change to an entry that was removed or is not invalid.
     *
     * @param key key of the entry
     * @param value the entry; empty if it was removed
     * @param content stored bytes of the entry; empty if it was removed
     */
    public Change(String key, Optional<T> value, Optional<byte[]> content) {
      this(key, value, content, Optional.empty());
    }

    /**
     * Decodes a changed entry. An entry that makes the decoder fail in any way is invalid: it must
     * not keep the other entries from being read.
     *
     * @param key key of the entry
     * @param content stored bytes of the entry; empty if it was removed
     * @param decoder decodes the content
     * @param <T> type of the entry
     * @return the change, never null
     */
    public static <T> Change<T> decode(
        String key, Optional<byte[]> content, EntryDecoder<T> decoder) {
      if (content.isEmpty()) {
        return new Change<>(key, Optional.empty(), content);
      }
      if (content.get().length > MAX_CONTENT_BYTES) {
        String reason = "content is longer than " + MAX_CONTENT_BYTES + " bytes";
        return invalid(key, Optional.of(new byte[0]), reason);
      }
      try {
        return new Change<>(key, decoder.decode(key, content.get()), content);
      } catch (IOException | IllegalArgumentException e) {
        return invalid(key, content, String.valueOf(e.getMessage()));
      } catch (RuntimeException | Error e) {
        return invalid(key, content, e.toString());
      }
    }

    /**
     * Creates a change to an entry that is invalid.
     *
     * @param key key of the entry
     * @param content stored bytes of the entry
     * @param reason why it is invalid; the first line is kept
     * @param <T> type of the entry
     * @return the change, never null
     */
    public static <T> Change<T> invalid(String key, Optional<byte[]> content, String reason) {
      String line = reason.lines().findFirst().orElse("");
      String defect = line.substring(0, Math.min(line.length(), MAX_DEFECT_CHARACTERS));
      return new Change<>(key, Optional.empty(), content, Optional.of(defect));
    }
  }

  /**
   * The entries of the list: all of them, or those that have changed.
   *
   * @param changes the entries in the order of their changes
   * @param position position to pass to the next call for changes
   * @param <T> type of the entries
   */
  record Entries<T>(List<Change<T>> changes, ListPosition position) implements FeedResult<T> {}

  /**
   * The store does not have the changes since the given position, because it keeps them only for
   * some time or because it came back from a copy; all entries must be read again.
   *
   * @param <T> type of the entries
   */
  record HistoryGone<T>() implements FeedResult<T> {}

  /**
   * The store did not respond or refused the call.
   *
   * @param reason cause of the failure
   * @param <T> type of the entries
   */
  record Failed<T>(String reason) implements FeedResult<T> {}
}
