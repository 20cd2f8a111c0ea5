package org.gooseberryhook.router.node;

import java.io.IOException;
import java.util.Optional;

/**
 * Decodes the entries of a list that the platform keeps. Other programs may write there too.
 *
 * @param <T> type of the entries
 */
@FunctionalInterface
public interface EntryDecoder<T> {

  /**
   * Decodes an entry.
   *
   * @param key key of the entry
   * @param content stored bytes of the entry
   * @return the entry; empty if the key names none of this list
   * @throws IOException if the entry is not valid; the message states the reason
   */
  Optional<T> decode(String key, byte[] content) throws IOException;
}
