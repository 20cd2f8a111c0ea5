package org.gooseberryhook.router.relay;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.relay.ListUpdate.ListChange;
import org.msgpack.core.ExtensionTypeHeader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Encodes and decodes the messages between a node and its followers as MessagePack. */
public final class RelayCodec {

  /** Version of the format; nodes of different formats read the store themselves. */
  private static final int FORMAT_VERSION = 1;

  private static final int MAX_LISTS = 16;
  private static final int MAX_PATH_NODES = 64;
  private static final int MAX_TARGETS = 16_384;

  /** The sums of many nodes may have more keys than the amounts of one. */
  private static final int MAX_SUMS = 65_536;

  private static final int MAX_CHANGES = 65_536;
  private static final int MAX_CONTENT_BYTES = 8_388_608;

  /** Extension type of MessagePack that marks a compressed content. */
  private static final byte COMPRESSED_TYPE = 1;

  /** Size above which contents are compressed; smaller ones fit into a few packets. */
  private static final int MIN_COMPRESSED_BYTES = 4_096;

  private RelayCodec() {}

  /**
   * Encodes a message of a follower.
   *
   * @param message the message
   * @return the bytes
   */
  public static byte[] encodeMessage(FollowerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT_VERSION).packMapHeader(message.positions().size());
      for (Map.Entry<String, ListPosition> entry : message.positions().entrySet()) {
        packer.packString(entry.getKey());
        packPosition(packer, entry.getValue());
      }
      packLoads(packer, message.loads());
      packSums(packer, message.sums());
      packer.packBoolean(message.acceptsCompressed());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a follower's message", e);
    }
  }

  /**
   * Decodes a message of a follower.
   *
   * @param bytes content of the message
   * @return the message, never null
   * @throws IOException if the bytes are not a message of this format version
   */
  public static FollowerMessage decodeMessage(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      requireFormat(unpacker.unpackInt());
      int size = requireAtMost(unpacker.unpackMapHeader(), MAX_LISTS);
      Map<String, ListPosition> positions = new LinkedHashMap<>();
      for (int i = 0; i < size; i++) {
        positions.put(unpacker.unpackString(), unpackPosition(unpacker));
      }
      return new FollowerMessage(
          positions, unpackLoads(unpacker), unpackSums(unpacker), unpackFlag(unpacker));
    } catch (RuntimeException | EOFException e) {
      throw new IOException("cannot decode the relay message of a follower", e);
    }
  }

  private static void packLoads(MessageBufferPacker packer, Map<String, InFlightLoad> loads)
      throws IOException {
    packer.packMapHeader(loads.size());
    for (Map.Entry<String, InFlightLoad> entry : loads.entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue().requests());
      packer.packLong(entry.getValue().layerTokens());
    }
  }

  private static Map<String, InFlightLoad> unpackLoads(MessageUnpacker unpacker)
      throws IOException {
    int size = requireAtMost(unpacker.unpackMapHeader(), MAX_TARGETS);
    Map<String, InFlightLoad> loads = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String target = unpacker.unpackString();
      loads.put(target, new InFlightLoad(unpacker.unpackInt(), unpacker.unpackLong()));
    }
    return loads;
  }

  /** Writes the amounts, which the versions before them do not read. */
  private static void packSums(MessageBufferPacker packer, FleetSums sums) throws IOException {
    packer.packMapHeader(sums.amounts().size());
    for (Map.Entry<String, Long> entry : sums.amounts().entrySet()) {
      packer.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  /** Reads a flag, which is false if the sender does not know it. */
  private static boolean unpackFlag(MessageUnpacker unpacker) throws IOException {
    return unpacker.hasNext()
        && unpacker.getNextFormat().getValueType() == ValueType.BOOLEAN
        && unpacker.unpackBoolean();
  }

  private static FleetSums unpackSums(MessageUnpacker unpacker) throws IOException {
    if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.MAP) {
      return FleetSums.NONE;
    }
    int size = requireAtMost(unpacker.unpackMapHeader(), MAX_SUMS);
    Map<String, Long> amounts = new HashMap<>();
    for (int i = 0; i < size; i++) {
      amounts.put(unpacker.unpackString(), unpacker.unpackLong());
    }
    return new FleetSums(amounts);
  }

  /**
   * Encodes a frame without compression, as every version reads it.
   *
   * @param frame the frame
   * @return the bytes
   */
  public static byte[] encodeFrame(RelayFrame frame) {
    return encodeFrame(frame, false);
  }

  /**
   * Encodes a frame.
   *
   * @param frame the frame
   * @param acceptsCompressed whether the receiver reads compressed contents
   * @return the bytes
   */
  public static byte[] encodeFrame(RelayFrame frame, boolean acceptsCompressed) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT_VERSION).packArrayHeader(frame.path().size());
      for (String node : frame.path()) {
        packer.packString(node);
      }
      packer.packBoolean(frame.isStoreAvailable());
      packer.packLong(frame.restoreGraceMs()).packArrayHeader(frame.updates().size());
      for (ListUpdate update : frame.updates()) {
        packer.packString(update.list());
        packPosition(packer, update.position().orElse(ListPosition.NONE));
        packer.packLong(update.ageMs()).packArrayHeader(update.changes().size());
        for (ListChange change : update.changes()) {
          packer.packString(change.key()).packLong(change.revision());
          if (change.content().isPresent()) {
            packContent(packer, change.content().get(), acceptsCompressed);
          } else {
            packer.packNil();
          }
        }
      }
      packLoads(packer, frame.loads());
      packSums(packer, frame.sums());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a relay frame", e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @param bytes content of a message
   * @return the frame, never null
   * @throws IOException if the bytes are not a frame of this format version
   */
  public static RelayFrame decodeFrame(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      requireFormat(unpacker.unpackInt());
      final List<String> path = unpackPath(unpacker);
      final boolean isStoreAvailable = unpacker.unpackBoolean();
      final long restoreGraceMs = unpacker.unpackLong();
      int size = requireAtMost(unpacker.unpackArrayHeader(), MAX_LISTS);
      List<ListUpdate> updates = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        String list = unpacker.unpackString();
        ListPosition position = unpackPosition(unpacker);
        long ageMs = unpacker.unpackLong();
        Optional<ListPosition> known =
            position.isKnown() ? Optional.of(position) : Optional.empty();
        updates.add(new ListUpdate(list, known, ageMs, unpackChanges(unpacker)));
      }
      return new RelayFrame(
          path,
          isStoreAvailable,
          restoreGraceMs,
          updates,
          unpackLoads(unpacker),
          unpackSums(unpacker));
    } catch (RuntimeException | EOFException e) {
      throw new IOException("cannot decode a relay frame", e);
    }
  }

  private static List<String> unpackPath(MessageUnpacker unpacker) throws IOException {
    int size = requireAtMost(unpacker.unpackArrayHeader(), MAX_PATH_NODES);
    List<String> path = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      path.add(unpacker.unpackString());
    }
    return path;
  }

  private static List<ListChange> unpackChanges(MessageUnpacker unpacker) throws IOException {
    int size = requireAtMost(unpacker.unpackArrayHeader(), MAX_CHANGES);
    List<ListChange> changes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      String key = unpacker.unpackString();
      long revision = unpacker.unpackLong();
      Optional<byte[]> content = Optional.empty();
      if (!unpacker.tryUnpackNil()) {
        content = Optional.of(unpackContent(unpacker));
      }
      changes.add(new ListChange(key, revision, content));
    }
    return changes;
  }

  /** Writes a content; a large one, such as a configuration of many routes, is compressed. */
  private static void packContent(
      MessageBufferPacker packer, byte[] content, boolean acceptsCompressed) throws IOException {
    if (!acceptsCompressed || content.length < MIN_COMPRESSED_BYTES) {
      packer.packBinaryHeader(content.length).writePayload(content);
      return;
    }
    byte[] compressed = Compression.compress(content);
    packer.packExtensionTypeHeader(COMPRESSED_TYPE, compressed.length).writePayload(compressed);
  }

  private static byte[] unpackContent(MessageUnpacker unpacker) throws IOException {
    if (unpacker.getNextFormat().getValueType() != ValueType.EXTENSION) {
      int length = requireAtMost(unpacker.unpackBinaryHeader(), MAX_CONTENT_BYTES);
      return unpacker.readPayload(length);
    }
    ExtensionTypeHeader header = unpacker.unpackExtensionTypeHeader();
    if (header.getType() != COMPRESSED_TYPE) {
      throw new IOException("a content of a relay message has an unknown type");
    }
    byte[] compressed = unpacker.readPayload(requireAtMost(header.getLength(), MAX_CONTENT_BYTES));
    return Compression.decompress(compressed, MAX_CONTENT_BYTES);
  }

  private static void packPosition(MessageBufferPacker packer, ListPosition position)
      throws IOException {
    packer.packLong(position.era()).packLong(position.revision());
  }

  private static ListPosition unpackPosition(MessageUnpacker unpacker) throws IOException {
    return new ListPosition(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static void requireFormat(int version) throws IOException {
    if (version != FORMAT_VERSION) {
      throw new IOException("a relay message has an unknown format version");
    }
  }

  private static int requireAtMost(int size, int limit) throws IOException {
    if (size < 0 || size > limit) {
      throw new IOException("a part of a relay message exceeds its limit");
    }
    return size;
  }
}
