package org.gooseberryhook.router.cluster;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.admission.LimitReport;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.state.LayerRange;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link PeerReport} as MessagePack.
 *
 * <p>Nodes of different versions run side by side during an upgrade. New fields are appended, and
 * decoders ignore fields that they do not know. Earlier formats, whose decoders reject any other,
 * are read, and written to the nodes that use them.
 */
public final class PeerReportCodec {

  /** The present format. */
  public static final int FORMAT_VERSION = 12;

  private static final int FIELD_COUNT = 27;

  /** Format without the amounts that add up over the fleet and the capacity of the sender. */
  private static final int FORMAT_WITHOUT_SUMS = 11;

  private static final int FIELD_COUNT_WITHOUT_SUMS = 24;

  /** Format without numbers of observed crashes and without retractions. */
  private static final int FORMAT_WITHOUT_CRASH_IDS = 10;

  private static final int FIELD_COUNT_WITHOUT_CRASH_IDS = 22;

  /** Format with limits but without targets that announced their leaving. */
  private static final int FORMAT_WITHOUT_LEAVING = 9;

  private static final int FIELD_COUNT_WITHOUT_LEAVING = 21;

  /**
   * Format without limits. The later ones bear its number and have further fields: of the versions
   * that write it, some ignore further fields, and none reads another number.
   */
  private static final int FORMAT_WITHOUT_LIMITS = 8;

  private static final int FIELD_COUNT_WITHOUT_LIMITS = 20;

  /** Format without answers of suspects, numbers of targets and reviews of crashes. */
  private static final int FORMAT_WITHOUT_REVIEWS = 6;

  /** Format with marks of single requests instead of crash findings. */
  private static final int FORMAT_WITH_CRASH_MARKS = 5;

  private static final int EARLIER_FIELD_COUNT = 18;

  /** Stands for the limit of a target that no longer names one. */
  private static final double NO_LIMIT = -1;

  /** Largest number of elements that is accepted in a list or map. */
  private static final int MAX_ELEMENTS = 4_096;

  private PeerReportCodec() {}

  /**
   * Encodes a report.
   *
   * @param report the report
   * @return the bytes
   */
  public static byte[] encode(PeerReport report) {
    return encode(report, FORMAT_VERSION);
  }

  /**
   * Encodes a report in a format that the receiver reads.
   *
   * @param report the report
   * @param format a format that {@link #readFormat} returned
   * @return the bytes
   */
  public static byte[] encode(PeerReport report, int format) {
    boolean isEarlier = format < FORMAT_WITHOUT_LIMITS;
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(fieldCount(format));
      packer.packInt(Math.min(format, FORMAT_WITHOUT_LIMITS));
      packer.packString(report.node()).packLong(report.incarnation());
      packer.packLong(report.sequence()).packString(report.callerAddress());
      packer.packString(report.reportAddress()).packBoolean(report.isReady());
      packer.packLong(report.leaseRevision()).packBoolean(report.isStopping());
      packer.packMapHeader(report.loads().size());
      for (Map.Entry<String, InFlightLoad> entry : report.loads().entrySet()) {
        packer.packString(entry.getKey()).packInt(entry.getValue().requests());
        packer.packLong(entry.getValue().layerTokens());
      }
      packer.packBoolean(report.isStoreUnavailable());
      packer.packArrayHeader(report.suspects().size());
      for (String suspect : report.suspects()) {
        packer.packString(suspect);
      }
      if (!isEarlier) {
        packLongs(packer, report.answeringSuspects());
      }
      if (format == FORMAT_WITH_CRASH_MARKS) {
        packer.packArrayHeader(0);
      } else {
        packCrashFindings(packer, report.crashFindings());
      }
      packer.packLong(report.intervalMs());
      packLayerReports(packer, report.layerReports());
      packer.packString(report.dataCentre()).packBoolean(report.canRelay());
      packer.packLong(report.configurationVersion());
      if (!isEarlier) {
        packCounts(packer, report.reachableTargets());
      }
      if (format >= FORMAT_WITHOUT_LEAVING) {
        packLimits(packer, report.limits());
      }
      if (format >= FORMAT_WITHOUT_CRASH_IDS) {
        packLongs(packer, report.announcedLeaving());
      }
      if (format >= FORMAT_WITHOUT_SUMS) {
        packCrashIds(packer, report.crashFindings());
      }
      if (format == FORMAT_VERSION) {
        packLongs(packer, report.sums().amounts());
        packer.packFloat((float) report.capacity().cores());
        packer.packFloat((float) report.capacity().linkMbps());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a peer report", e);
    }
  }

  private static int fieldCount(int format) {
    return switch (format) {
      case FORMAT_VERSION -> FIELD_COUNT;
      case FORMAT_WITHOUT_SUMS -> FIELD_COUNT_WITHOUT_SUMS;
      case FORMAT_WITHOUT_CRASH_IDS -> FIELD_COUNT_WITHOUT_CRASH_IDS;
      case FORMAT_WITHOUT_LEAVING -> FIELD_COUNT_WITHOUT_LEAVING;
      case FORMAT_WITHOUT_LIMITS -> FIELD_COUNT_WITHOUT_LIMITS;
      default -> EARLIER_FIELD_COUNT;
    };
  }

  private static void packLongs(MessageBufferPacker packer, Map<String, Long> values)
      throws IOException {
    packer.packMapHeader(values.size());
    for (Map.Entry<String, Long> entry : values.entrySet()) {
      packer.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static void packCounts(MessageBufferPacker packer, Map<String, Integer> counts)
      throws IOException {
    packer.packMapHeader(counts.size());
    for (Map.Entry<String, Integer> entry : counts.entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue());
    }
  }

  private static void packLimits(MessageBufferPacker packer, Map<String, LimitReport> limits)
      throws IOException {
    packer.packMapHeader(limits.size());
    for (Map.Entry<String, LimitReport> entry : limits.entrySet()) {
      LimitReport limit = entry.getValue();
      packer.packString(entry.getKey()).packLong(limit.startedAtMs());
      // A rounded limit would differ from the one that the receiver heard itself.
      packer.packDouble(limit.perSecond().orElse(NO_LIMIT));
      packer.packLong(limit.sentAgeMs()).packLong(limit.receivedAgeMs());
      packer.packFloat((float) limit.demandPerSecond());
      packer.packFloat((float) limit.sharedDemandPerSecond());
    }
  }

  private static void packCrashFindings(MessageBufferPacker packer, CrashFindings findings)
      throws IOException {
    packer.packArrayHeader(findings.crashes().size());
    for (CrashFindings.Crash crash : findings.crashes()) {
      packer.packLong(crash.cause()).packLong(crash.workspace());
      packer.packLong(crash.target()).packLong(crash.ageMs());
    }
    packer.packArrayHeader(findings.soundStarts().size());
    for (CrashFindings.SoundStart start : findings.soundStarts()) {
      packer.packLong(start.cause()).packLong(start.ageMs());
    }
  }

  private static void packCrashIds(MessageBufferPacker packer, CrashFindings findings)
      throws IOException {
    packer.packArrayHeader(findings.crashes().size());
    for (CrashFindings.Crash crash : findings.crashes()) {
      packer.packLong(crash.id());
    }
    packer.packArrayHeader(2 * findings.retractions().size());
    for (CrashFindings.Retraction retraction : findings.retractions()) {
      packer.packLong(retraction.id()).packLong(retraction.ageMs());
    }
  }

  private static void packLayerReports(
      MessageBufferPacker packer, Map<String, LayerReport> layerReports) throws IOException {
    packer.packMapHeader(layerReports.size());
    for (Map.Entry<String, LayerReport> entry : layerReports.entrySet()) {
      LayerReport layerReport = entry.getValue();
      packer.packString(entry.getKey()).packLong(layerReport.startedAtMs());
      packer.packLong(layerReport.acceptedOrders()).packBoolean(layerReport.isLoading());
      packer.packInt(layerReport.layers().map(LayerRange::firstLayer).orElse(0));
      packer.packInt(layerReport.layers().map(LayerRange::endLayer).orElse(0));
    }
  }

  /**
   * Decodes a report.
   *
   * @param bytes content of a datagram
   * @return the report, never null
   * @throws IOException if the bytes are not a report of a known format
   */
  public static PeerReport decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      final int format = unpackFormat(unpacker);
      final boolean isEarlier = format < FORMAT_WITHOUT_LIMITS;
      PeerReport report = readReport(unpacker, format, isEarlier);
      if (format < FORMAT_WITHOUT_SUMS) {
        return report;
      }
      PeerReport withIds = readCrashIds(unpacker, report);
      return format == FORMAT_VERSION
          ? withIds.withSums(
              new FleetSums(readLongs(unpacker)),
              new NodeCapacity(unpacker.unpackFloat(), unpacker.unpackFloat()))
          : withIds;
    } catch (RuntimeException | EOFException e) {
      throw new IOException("cannot decode a peer report", e);
    }
  }

  private static PeerReport readReport(MessageUnpacker unpacker, int format, boolean isEarlier)
      throws IOException {
    return new PeerReport(
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        readLoads(unpacker),
        unpacker.unpackBoolean(),
        readSuspects(unpacker, isEarlier),
        isEarlier ? Map.of() : readLongs(unpacker),
        readCrashFindings(unpacker, format),
        unpacker.unpackLong(),
        readLayerReports(unpacker),
        unpacker.unpackString(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        isEarlier ? Map.of() : readCounts(unpacker),
        format >= FORMAT_WITHOUT_LEAVING ? readLimits(unpacker) : Map.of(),
        format >= FORMAT_WITHOUT_CRASH_IDS ? readLongs(unpacker) : Map.of());
  }

  /** Reads the numbers of the crashes, which the fields before them list, and the retractions. */
  private static PeerReport readCrashIds(MessageUnpacker unpacker, PeerReport report)
      throws IOException {
    CrashFindings findings = report.crashFindings();
    if (unpacker.unpackArrayHeader() != findings.crashes().size()) {
      throw new IOException("a peer report has another number of crash ids than of crashes");
    }
    List<CrashFindings.Crash> crashes = new ArrayList<>();
    for (CrashFindings.Crash crash : findings.crashes()) {
      crashes.add(
          new CrashFindings.Crash(
              crash.cause(),
              crash.workspace(),
              crash.target(),
              crash.ageMs(),
              unpacker.unpackLong()));
    }
    int retractionCount = checkSize(unpacker.unpackArrayHeader()) / 2;
    List<CrashFindings.Retraction> retractions = new ArrayList<>();
    for (int i = 0; i < retractionCount; i++) {
      retractions.add(new CrashFindings.Retraction(unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return report.withCrashFindings(
        new CrashFindings(crashes, findings.soundStarts(), retractions));
  }

  /**
   * Returns the format of an encoded report, in which its sender reads reports as well.
   *
   * @param bytes content of a datagram
   * @return the format
   * @throws IOException if the bytes do not begin like a report of a known format
   */
  public static int readFormat(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpackFormat(unpacker);
    } catch (RuntimeException | EOFException e) {
      throw new IOException("cannot decode a peer report", e);
    }
  }

  private static int unpackFormat(MessageUnpacker unpacker) throws IOException {
    int fieldCount = unpacker.unpackArrayHeader();
    int format = unpacker.unpackInt();
    boolean isKnown =
        switch (format) {
          case FORMAT_WITHOUT_LIMITS -> fieldCount >= FIELD_COUNT_WITHOUT_LIMITS;
          case FORMAT_WITHOUT_REVIEWS, FORMAT_WITH_CRASH_MARKS -> fieldCount == EARLIER_FIELD_COUNT;
          default -> false;
        };
    if (!isKnown) {
      throw new IOException("a peer report has an unknown field count or format version");
    }
    if (format == FORMAT_WITHOUT_LIMITS && fieldCount >= FIELD_COUNT) {
      return FORMAT_VERSION;
    }
    if (format == FORMAT_WITHOUT_LIMITS && fieldCount >= FIELD_COUNT_WITHOUT_SUMS) {
      return FORMAT_WITHOUT_SUMS;
    }
    if (format == FORMAT_WITHOUT_LIMITS && fieldCount >= FIELD_COUNT_WITHOUT_CRASH_IDS) {
      return FORMAT_WITHOUT_CRASH_IDS;
    }
    boolean hasLimits =
        format == FORMAT_WITHOUT_LIMITS && fieldCount >= FIELD_COUNT_WITHOUT_LEAVING;
    return hasLimits ? FORMAT_WITHOUT_LEAVING : format;
  }

  /**
   * Reads the suspects. Those of an earlier format are not used: they may only be slow, and their
   * sender cannot tell that they answer.
   */
  private static List<String> readSuspects(MessageUnpacker unpacker, boolean isEarlier)
      throws IOException {
    List<String> suspects = readStrings(unpacker);
    return isEarlier ? List.of() : suspects;
  }

  /** Reads the crash findings; those of an earlier format include crashes that nothing proves. */
  private static CrashFindings readCrashFindings(MessageUnpacker unpacker, int format)
      throws IOException {
    if (format == FORMAT_WITH_CRASH_MARKS) {
      unpacker.skipValue();
      return CrashFindings.NONE;
    }
    CrashFindings findings = readCrashFindings(unpacker);
    return format == FORMAT_WITHOUT_REVIEWS
        ? new CrashFindings(List.of(), findings.soundStarts())
        : findings;
  }

  private static Map<String, InFlightLoad> readLoads(MessageUnpacker unpacker) throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, InFlightLoad> loads = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String target = unpacker.unpackString();
      loads.put(target, new InFlightLoad(unpacker.unpackInt(), unpacker.unpackLong()));
    }
    return loads;
  }

  private static Map<String, Integer> readCounts(MessageUnpacker unpacker) throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String name = unpacker.unpackString();
      int count = unpacker.unpackInt();
      if (count < 0) {
        throw new IOException("a peer report has a negative number of targets");
      }
      counts.put(name, count);
    }
    return counts;
  }

  private static Map<String, LimitReport> readLimits(MessageUnpacker unpacker) throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, LimitReport> limits = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String target = unpacker.unpackString();
      long startedAtMs = unpacker.unpackLong();
      double perSecond = unpacker.unpackDouble();
      long sentAgeMs = unpacker.unpackLong();
      long receivedAgeMs = unpacker.unpackLong();
      double demand = unpacker.unpackFloat();
      double sharedDemand = unpacker.unpackFloat();
      if (!(sentAgeMs >= 0 && receivedAgeMs >= 0 && demand >= 0 && sharedDemand >= 0)
          || Double.isNaN(perSecond)) {
        throw new IOException("a peer report has a limit with a negative age or demand");
      }
      limits.put(
          target,
          new LimitReport(
              startedAtMs,
              perSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(perSecond),
              sentAgeMs,
              receivedAgeMs,
              demand,
              sharedDemand));
    }
    return limits;
  }

  private static List<String> readStrings(MessageUnpacker unpacker) throws IOException {
    int size = checkSize(unpacker.unpackArrayHeader());
    List<String> strings = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      strings.add(unpacker.unpackString());
    }
    return strings;
  }

  private static Map<String, Long> readLongs(MessageUnpacker unpacker) throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, Long> values = new HashMap<>();
    for (int i = 0; i < size; i++) {
      values.put(unpacker.unpackString(), unpacker.unpackLong());
    }
    return values;
  }

  private static CrashFindings readCrashFindings(MessageUnpacker unpacker) throws IOException {
    int crashCount = checkSize(unpacker.unpackArrayHeader());
    List<CrashFindings.Crash> crashes = new ArrayList<>();
    for (int i = 0; i < crashCount; i++) {
      crashes.add(
          new CrashFindings.Crash(
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong()));
    }
    int startCount = checkSize(unpacker.unpackArrayHeader());
    List<CrashFindings.SoundStart> starts = new ArrayList<>();
    for (int i = 0; i < startCount; i++) {
      starts.add(new CrashFindings.SoundStart(unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return new CrashFindings(crashes, starts);
  }

  private static Map<String, LayerReport> readLayerReports(MessageUnpacker unpacker)
      throws IOException {
    int size = checkSize(unpacker.unpackMapHeader());
    Map<String, LayerReport> layerReports = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String target = unpacker.unpackString();
      long startedAtMs = unpacker.unpackLong();
      long acceptedOrders = unpacker.unpackLong();
      boolean isLoading = unpacker.unpackBoolean();
      int first = unpacker.unpackInt();
      int end = unpacker.unpackInt();
      Optional<LayerRange> layers =
          end > first ? Optional.of(LayerRange.of(first, end)) : Optional.empty();
      layerReports.put(target, new LayerReport(startedAtMs, acceptedOrders, isLoading, layers));
    }
    return layerReports;
  }

  private static int checkSize(int size) throws IOException {
    if (size > MAX_ELEMENTS) {
      throw new IOException("a list or map of a peer report exceeds the element limit");
    }
    return size;
  }
}
