package org.gooseberryhook.transport;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.state.ConfigurationChange;

/**
 * State and actions of a node that the administration API offers to operators.
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

  /** Returns the targets that a planned change of a kind affects; empty if there are none. */
  List<String> getTargetIds(String kind, String id);

  /**
   * Records an operator's declaration that the run at a peer address has ended and notifies the
   * other nodes.
   *
   * @param peerAddress {@code ip:port}
   * @param reason how the operator knows it, for the log
   * @return why the declaration is refused; empty if it was recorded
   */
  Optional<Problem> declareNodeGone(String peerAddress, String reason);

  /**
   * Returns why a change is refused that exceeds the capacity of the fleet; empty if it is
   * accepted.
   */
  Optional<Problem> checkCapacity(ConfigurationChange change);

  /**
   * Applies an accepted change here and notifies the other nodes, before the configuration reaches
   * them.
   */
  void onChangeAccepted(ConfigurationChange change);

  /** Returns why the node is not ready; empty if it is. */
  Optional<String> getNotReadyReason();
}
