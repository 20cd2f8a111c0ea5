package org.gooseberryhook.transport;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.state.ConfigurationChange;

/**
 * What the administration API shows of a node and does at it.
 *
 * @since 0.1
 */
interface AdminView {

  /** Returns nodes, targets, pipelines and limits as JSON-ready values. */
  Map<String, Object> getStatus();

  /** Returns the declared planned changes with their progress. */
  List<Map<String, Object>> getPlannedChanges();

  /** Returns the history of changes after a version, oldest first. */
  List<Map<String, Object>> getChanges(long afterVersion);

  /** Returns the requests that carry crash marks. */
  List<Map<String, Object>> getCrashMarks();

  /** Clears the crash marks of a request on all nodes. */
  void clearCrashMarks(long fingerprint);

  /** Returns the targets that a planned change of a kind means; empty if there are none. */
  List<String> getTargetIds(String kind, String id);

  /**
   * Takes an operator's word that the run at a peer address has ended and tells the other nodes.
   *
   * @param peerAddress {@code ip:port}
   * @param reason why the operator knows, for the log
   * @return why it is refused, or empty if it was done
   */
  Optional<Problem> declareNodeGone(String peerAddress, String reason);

  /** Refuses a change that the fleet cannot carry. */
  Optional<Problem> checkCapacity(ConfigurationChange change);

  /** Acts on an accepted change ahead of its spread. */
  void onChangeAccepted(ConfigurationChange change);

  /** Returns why the node is not ready; empty if it is. */
  Optional<String> getNotReadyReason();
}
