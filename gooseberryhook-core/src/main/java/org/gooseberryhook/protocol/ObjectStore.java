package org.gooseberryhook.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's object store. Futures never complete exceptionally.
 *
 * @since 0.1
 */
public interface ObjectStore {

  /** Maximum length of an object in bytes. */
  int MAX_OBJECT_BYTES = 8 << 20;

  /**
   * Creates an object or replaces its content.
   *
   * @param name name of the object
   * @param bytes the content, at most {@link #MAX_OBJECT_BYTES}
   * @return {@link ObjectResult.Stored}, {@link ObjectResult.NotApplied} or {@link
   *     ObjectResult.Unknown}
   */
  CompletableFuture<ObjectResult> put(String name, byte[] bytes);

  /**
   * Reads an object.
   *
   * @param name name of the object
   * @return {@link ObjectResult.Found}, {@link ObjectResult.Absent}, or a failure
   */
  CompletableFuture<ObjectResult> get(String name);

  /**
   * Reads the names with a prefix in ascending order.
   *
   * @param prefix prefix of the names; empty for all names
   * @param afterName only names greater than this one; empty for the first page
   * @param limit maximum number of names, at least 1
   * @return {@link ObjectResult.Names}, or a failure
   */
  CompletableFuture<ObjectResult> list(String prefix, String afterName, int limit);
}
