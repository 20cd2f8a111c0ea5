package org.gooseberryhook.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's object store. Futures never complete exceptionally.
 *
 * @since 0.1
 */
public interface ObjectStore {

  /** Length of an object at most. */
  int MAX_OBJECT_BYTES = 8 << 20;

  /**
   * Writes an object, whether or not it exists.
   *
   * @param name the name
   * @param bytes the content, at most {@link #MAX_OBJECT_BYTES}
   * @return {@link ObjectResult.Stored}, or a failure
   */
  CompletableFuture<ObjectResult> put(String name, byte[] bytes);

  /**
   * Reads an object.
   *
   * @param name the name
   * @return {@link ObjectResult.Found}, {@link ObjectResult.Absent}, or a failure
   */
  CompletableFuture<ObjectResult> get(String name);

  /**
   * Reads names in their order.
   *
   * @param prefix prefix of the names
   * @param afterName only names greater than this one; empty for the first page
   * @param limit names at most, at least 1
   * @return {@link ObjectResult.Names}, or a failure
   */
  CompletableFuture<ObjectResult> list(String prefix, String afterName, int limit);
}
