package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Result of a call to the object store.
 *
 * @since 0.1
 */
public sealed interface ObjectResult {

  /**
   * The object was written.
   *
   * @since 0.1
   */
  record Stored() implements ObjectResult {}

  /**
   * The object was read.
   *
   * @param bytes the whole content; not copied
   * @since 0.1
   */
  record Found(byte[] bytes) implements ObjectResult {}

  /**
   * The object does not exist.
   *
   * @since 0.1
   */
  record Absent() implements ObjectResult {}

  /**
   * Names that were read.
   *
   * @param names the names in their order
   * @since 0.1
   */
  record Names(List<String> names) implements ObjectResult {}

  /**
   * The call was refused or never sent; nothing was written.
   *
   * @param reason what happened
   * @since 0.1
   */
  record NotApplied(String reason) implements ObjectResult {}

  /**
   * The answer was lost; an object may have been written, now or later.
   *
   * @param reason what happened
   * @since 0.1
   */
  record Unknown(String reason) implements ObjectResult {}
}
