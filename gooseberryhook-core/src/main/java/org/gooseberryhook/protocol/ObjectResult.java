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
   * The names were read.
   *
   * @param names the names in ascending order
   * @since 0.1
   */
  record Names(List<String> names) implements ObjectResult {}

  /**
   * The call was refused or never sent; nothing was written.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record NotApplied(String reason) implements ObjectResult {}

  /**
   * The response was lost; the object may have been written or may still be written later.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record Unknown(String reason) implements ObjectResult {}
}
