package org.gooseberryhook.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhook.protocol.PeerCodec;

/**
 * Counts the traffic between nodes. Thread-safe.
 *
 * @since 0.1
 */
public final class TransportCounters {

  private final LongAdder messagesIn = new LongAdder();
  private final LongAdder bytesIn = new LongAdder();
  private final LongAdder messagesOut = new LongAdder();
  private final LongAdder bytesOut = new LongAdder();
  private final LongAdder dropped = new LongAdder();
  private final LongAdder connectionErrors = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private final LongAdder receiverErrors = new LongAdder();
  private final Map<PeerCodec.FrameError, LongAdder> malformed =
      new EnumMap<>(PeerCodec.FrameError.class);

  TransportCounters() {
    for (PeerCodec.FrameError kind : PeerCodec.FrameError.values()) {
      malformed.put(kind, new LongAdder());
    }
  }

  /**
   * Counts since the start.
   *
   * @param messagesIn messages received, including malformed frames
   * @param bytesIn bytes received in frames, including the length fields
   * @param messagesOut messages written to a connection
   * @param bytesOut bytes written, including the length fields
   * @param dropped messages dropped before they were written
   * @param connectionErrors connections that could not be opened or broke
   * @param refusedConnections inbound connections closed because the maximum number was open
   * @param receiverErrors messages on which the receiver threw
   * @param malformed malformed frames by kind
   * @since 0.1
   */
  public record Counts(
      long messagesIn,
      long bytesIn,
      long messagesOut,
      long bytesOut,
      long dropped,
      long connectionErrors,
      long refusedConnections,
      long receiverErrors,
      Map<PeerCodec.FrameError, Long> malformed) {}

  /**
   * Returns the counts.
   *
   * @return the counts, never null
   */
  public Counts getCounts() {
    Map<PeerCodec.FrameError, Long> byKind = new EnumMap<>(PeerCodec.FrameError.class);
    malformed.forEach((kind, count) -> byKind.put(kind, count.sum()));
    return new Counts(
        messagesIn.sum(),
        bytesIn.sum(),
        messagesOut.sum(),
        bytesOut.sum(),
        dropped.sum(),
        connectionErrors.sum(),
        refusedConnections.sum(),
        receiverErrors.sum(),
        byKind);
  }

  void addIn(int bytes) {
    messagesIn.increment();
    bytesIn.add(bytes);
  }

  void addOut(int bytes) {
    messagesOut.increment();
    bytesOut.add(bytes);
  }

  void addDropped(int count) {
    dropped.add(count);
  }

  void addConnectionError() {
    connectionErrors.increment();
  }

  void addRefusedConnection() {
    refusedConnections.increment();
  }

  void addReceiverError() {
    receiverErrors.increment();
  }

  void addMalformed(PeerCodec.FrameError kind) {
    malformed.get(kind).increment();
  }
}
