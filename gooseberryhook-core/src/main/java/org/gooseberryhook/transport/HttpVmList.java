package org.gooseberryhook.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmList;
import org.gooseberryhook.protocol.VmListResult;
import org.gooseberryhook.protocol.VmTarget;
import org.jboss.logging.Logger;

/**
 * Client of the platform's VM list over HTTP. An invalid target is skipped and logged, so that one
 * invalid entry does not hide the rest of the fleet.
 *
 * @since 0.1
 */
public final class HttpVmList implements VmList {

  /** Deadline of a call. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  private static final Logger LOG = Logger.getLogger(HttpVmList.class);
  private static final int MAX_IN_FLIGHT = 2;
  // 390 nodes and 30,000 targets of about 300 bytes each are 9 MB.
  private static final long MAX_RESPONSE_BYTES = 32L << 20;

  private final HttpUrl url;
  private final HttpCaller caller;
  private volatile String lastLoggedFault = "";

  /**
   * Creates a client.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @param timeout deadline of each call
   * @throws IllegalArgumentException if the URL is not valid
   */
  public HttpVmList(HttpClients clients, String baseUrl, Duration timeout) {
    this.url = HttpUrl.get(baseUrl).newBuilder().addPathSegment("vms").build();
    this.caller = new HttpCaller(clients, "vm-list", MAX_IN_FLIGHT, timeout, MAX_RESPONSE_BYTES);
  }

  /**
   * Returns a client with the default deadline.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @return the client, never null
   * @throws IllegalArgumentException if the URL is not valid
   */
  public static HttpVmList of(HttpClients clients, String baseUrl) {
    return new HttpVmList(clients, baseUrl, DEFAULT_TIMEOUT);
  }

  @Override
  public CompletableFuture<VmListResult> list() {
    return caller.call(new Request.Builder().url(url)).thenApply(this::toResult);
  }

  private VmListResult toResult(HttpCaller.Exchange exchange) {
    if (exchange instanceof HttpCaller.Exchange.NotSent notSent) {
      return new VmListResult.Unavailable(notSent.reason());
    }
    if (exchange instanceof HttpCaller.Exchange.Lost lost) {
      return new VmListResult.Unavailable(lost.reason());
    }
    HttpCaller.Exchange.Answered answered = (HttpCaller.Exchange.Answered) exchange;
    if (answered.status() != HttpCaller.OK) {
      return new VmListResult.Unavailable("vm-list: unexpected status " + answered.status());
    }
    try {
      VmEntry[] entries = HttpCaller.MAPPER.readValue(answered.body(), VmEntry[].class);
      return new VmListResult.Listed(toValid(entries));
    } catch (IOException | RuntimeException e) {
      return new VmListResult.Unavailable("vm-list: response cannot be read: " + e);
    }
  }

  private List<VmEntry> toValid(VmEntry[] entries) {
    List<VmEntry> valid = new ArrayList<>(entries.length);
    String fault = "";
    for (VmEntry vm : entries) {
      List<VmTarget> targets = new ArrayList<>(vm.targets().size());
      for (VmTarget target : vm.targets()) {
        try {
          target.toTarget(vm);
          targets.add(target);
        } catch (IllegalArgumentException | NullPointerException e) {
          fault = "target " + target.targetId() + " of VM " + vm.vmId() + ": " + e.getMessage();
        }
      }
      valid.add(new VmEntry(vm.vmId(), vm.place(), vm.region(), vm.status(), targets));
    }
    logChangedFault(fault);
    return List.copyOf(valid);
  }

  /** Logs a fault only when it changes, as the list is read every second. */
  private void logChangedFault(String fault) {
    if (!fault.isEmpty() && !fault.equals(lastLoggedFault)) {
      LOG.warnf("skipped an invalid target in the VM list: %s; correct its entry", fault);
    }
    lastLoggedFault = fault;
  }
}
