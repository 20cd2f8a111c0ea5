package org.gooseberryhook.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** In-memory plain service that counts effects by key and does not deduplicate. */
public final class FakePlainService implements PlainServiceClient {

  /** What happens to the next calls. */
  public enum Fault {
    /** Calls work. */
    NONE,
    /** Nothing is sent. */
    NOT_SENT,
    /** The answer is lost after the effect. */
    LOST_AFTER_EFFECT,
    /** The answer is lost and there is no effect. */
    LOST_BEFORE_EFFECT,
    /** The call never ends and has no effect. */
    SILENT
  }

  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<String, Fault> faults = new HashMap<>();
  private final Map<String, ServiceResult.Answered> results = new HashMap<>();

  /** Sets the fault of the following calls to an address. */
  public synchronized void setFault(String address, Fault fault) {
    faults.put(address, fault);
  }

  /** Returns how often a key took effect. */
  public synchronized int getEffects(String key) {
    return effects.getOrDefault(key, 0);
  }

  @Override
  public synchronized CompletableFuture<ServiceResult> call(
      String targetAddress,
      String service,
      String operation,
      String key,
      String body,
      long timeoutMs) {
    Fault fault = faults.getOrDefault(targetAddress, Fault.NONE);
    if (fault == Fault.NOT_SENT) {
      return CompletableFuture.completedFuture(new ServiceResult.NotSent("refused"));
    } else if (fault == Fault.LOST_BEFORE_EFFECT) {
      return CompletableFuture.completedFuture(new ServiceResult.AnswerLost("reset"));
    } else if (fault == Fault.SILENT) {
      return new CompletableFuture<>();
    }
    int count = effects.merge(String.valueOf(key), 1, Integer::sum);
    ServiceResult.Answered answer = new ServiceResult.Answered(200, operation + " " + count);
    results.put(String.valueOf(key), answer);
    return CompletableFuture.completedFuture(
        fault == Fault.NONE ? answer : new ServiceResult.AnswerLost("reset"));
  }

  @Override
  public synchronized CompletableFuture<LookupResult> lookup(
      String targetAddress, String service, String key, long timeoutMs) {
    ServiceResult.Answered answer = results.get(key);
    return CompletableFuture.completedFuture(
        answer == null ? new LookupResult.NeverSeen() : new LookupResult.RanWith(answer));
  }
}
