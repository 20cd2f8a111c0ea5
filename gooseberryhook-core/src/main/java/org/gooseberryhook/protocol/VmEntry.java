package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.gooseberryhook.state.Target;

/**
 * VM as reported by the platform's VM list.
 *
 * @param vmId unique name of the VM
 * @param place the data centre of the VM
 * @param region the region of the data centre
 * @param status {@code live} or {@code leaving}
 * @param targets the targets on the VM
 * @since 0.1
 */
public record VmEntry(
    String vmId, String place, String region, String status, List<VmTarget> targets) {

  /** Status of a VM that may receive new work. */
  public static final String LIVE = "live";

  /** Status of a VM that must receive no new work. */
  public static final String LEAVING = "leaving";

  /** Creates an entry; a null list of targets becomes an empty one. */
  public VmEntry {
    targets = targets == null ? List.of() : List.copyOf(targets);
  }

  /**
   * Returns whether the VM must receive no new work. Any status but {@code live} counts as leaving,
   * because work sent to a VM of unknown state may be lost.
   *
   * @return false only for a live VM
   */
  @JsonIgnore
  public boolean isLeaving() {
    return !LIVE.equals(status);
  }

  /**
   * Maps the targets to domain records.
   *
   * @return the targets, never null
   * @throws IllegalArgumentException if a target is not valid
   */
  public List<Target> toTargets() {
    return targets.stream().map(target -> target.toTarget(this)).toList();
  }
}
