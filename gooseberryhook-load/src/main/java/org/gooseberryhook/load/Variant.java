package org.gooseberryhook.load;

import java.util.List;
import java.util.Objects;

/**
 * A deployment under test.
 *
 * @param name name in reports
 * @param addresses {@code ip:port} of the entry nodes to fetch addresses from, not empty
 * @since 0.1
 */
public record Variant(String name, List<String> addresses) {

  /**
   * Creates a variant.
   *
   * @throws IllegalArgumentException if there is no address
   */
  public Variant {
    Objects.requireNonNull(name, "name");
    addresses = List.copyOf(addresses);
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException(
          "variant " + name + " has no address; name at least one entry node");
    }
  }
}
