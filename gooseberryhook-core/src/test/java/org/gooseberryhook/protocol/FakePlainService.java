package org.gooseberryhook.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * In-memory plain service that counts how often each key was executed and does not deduplicate. It
 * can simulate faults for each address.
 */
public final class FakePlainService implements PlainServiceClient {

  /** Fault that the service simulates. */
  public enum Fault {
    /** Calls succeed. */
    NONE,
    /** The call is not sent. */
    NOT_SENT,
    /** The call is executed and its response is lost. */
    LOST_AFTER_EFFECT,
    /** The call is not executed and no response arrives. */
    LOST_BEFORE_EFFECT,
    /** The call is not executed and never completes. */
    SILENT
  }

  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<String, Fault> faults = new HashMap<>();
  private final Map<String, ServiceResult.Answered> results = new HashMap<>();

  /** Sets the fault of the following calls to an address. */
  public synchronized void setFault(String address, Fault fault) {
    faults.put(address, fault);
  }

  /** Returns how often calls with a key were executed. */
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
    ServiceResult.Answered response = new ServiceResult.Answered(200, operation + " " + count);
    results.put(String.valueOf(key), response);
    return CompletableFuture.completedFuture(
        fault == Fault.NONE ? response : new ServiceResult.AnswerLost("reset"));
  }

  @Override
  public synchronized CompletableFuture<LookupResult> lookup(
      String targetAddress, String service, String key, long timeoutMs) {
    ServiceResult.Answered response = results.get(key);
    return CompletableFuture.completedFuture(
        response == null ? new LookupResult.NeverSeen() : new LookupResult.RanWith(response));
  }
}
