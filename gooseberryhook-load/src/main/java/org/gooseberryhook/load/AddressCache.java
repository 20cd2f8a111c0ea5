package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;

/**
 * The entry node addresses of one caller, fetched from {@code /v1/addresses} and cached for the
 * validity that the node states. Requests use the first address; a failure moves on to the next
 * one. Thread-safe; while one thread refreshes the list, the others use the previous one.
 */
final class AddressCache {

  private static final long MAX_VALIDITY_MS = 3_600_000;

  /** Wait before the next refresh when no node returned a list. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final OkHttpClient client;
  private final List<String> baseAddresses;
  private final String key;
  private List<String> addresses;
  private int position;
  private long validUntilNanos;
  private boolean isRefreshing;

  AddressCache(OkHttpClient client, List<String> baseAddresses, String key) {
    this.client = client;
    this.baseAddresses = List.copyOf(baseAddresses);
    this.key = key;
    this.addresses = this.baseAddresses;
    this.validUntilNanos = System.nanoTime();
  }

  /** Returns the address to use now; fetches the list first if it is no longer valid. */
  String current() {
    List<String> candidates;
    synchronized (this) {
      if (isRefreshing || System.nanoTime() - validUntilNanos < 0) {
        return addresses.get(position);
      }
      isRefreshing = true;
      candidates = listCandidates();
    }
    Optional<AddressList> fetched = Optional.empty();
    try {
      fetched = fetchAddresses(candidates);
    } finally {
      finishRefresh(fetched);
    }
    synchronized (this) {
      return addresses.get(position);
    }
  }

  /**
   * Moves on to the next address; after the last one, the next call of {@link #current} refreshes
   * the list. Does nothing if another thread has already moved on.
   */
  synchronized void onFailed(String address) {
    if (!addresses.get(position).equals(address)) {
      return;
    }
    position++;
    if (position == addresses.size()) {
      position = 0;
      validUntilNanos = System.nanoTime();
    }
  }

  private List<String> listCandidates() {
    Set<String> candidates = new LinkedHashSet<>();
    candidates.addAll(addresses.subList(position, addresses.size()));
    candidates.addAll(addresses);
    candidates.addAll(baseAddresses);
    return List.copyOf(candidates);
  }

  private synchronized void finishRefresh(Optional<AddressList> fetched) {
    isRefreshing = false;
    long nowNanos = System.nanoTime();
    if (fetched.isEmpty()) {
      validUntilNanos = nowNanos + RETRY_NANOS;
      return;
    }
    addresses = fetched.get().addresses();
    position = 0;
    validUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(fetched.get().validForMs());
  }

  private Optional<AddressList> fetchAddresses(List<String> candidates) {
    for (String address : candidates) {
      Request request =
          new Request.Builder()
              .url("http://" + address + "/v1/addresses")
              .header("Authorization", "Bearer " + key)
              .build();
      try (Response response = client.newCall(request).execute()) {
        JsonNode body = Json.MAPPER.readTree(response.body().bytes());
        List<String> listed = new ArrayList<>();
        body.path("addresses").forEach(entry -> listed.add(entry.asText()));
        if (response.isSuccessful() && !listed.isEmpty()) {
          long validForMs = body.path("valid_for_ms").asLong(0);
          return Optional.of(
              new AddressList(listed, Math.max(0, Math.min(validForMs, MAX_VALIDITY_MS))));
        }
      } catch (IOException e) {
        // Tries the next candidate; a node that is down is an expected fault.
        continue;
      }
    }
    return Optional.empty();
  }

  /** The addresses that a node returned, and how long they are valid in milliseconds. */
  private record AddressList(List<String> addresses, long validForMs) {}
}
