package org.gooseberryhook.coordination;

import java.util.List;
import org.gooseberryhook.protocol.TableOperation;

/**
 * A call to the table service that the caller must make. The caller passes back the result with the
 * call id, and {@code TableResult.Unknown} if there is none.
 *
 * @since 0.1
 */
public sealed interface TableCall {

  /**
   * Returns the id of the call.
   *
   * @return the id
   */
  long callId();

  /**
   * A transaction.
   *
   * @param callId id of the call
   * @param operations the operations
   * @since 0.1
   */
  record Transact(long callId, List<TableOperation> operations) implements TableCall {}

  /**
   * A read of one record.
   *
   * @param callId id of the call
   * @param key the key
   * @since 0.1
   */
  record Get(long callId, String key) implements TableCall {}
}
