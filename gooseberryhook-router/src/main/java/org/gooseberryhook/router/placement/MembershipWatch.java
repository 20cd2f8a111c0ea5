package org.gooseberryhook.router.placement;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Notices when targets join a service or begin to leave it. A release does both again and again, so
 * that the next change is likely soon after the last one.
 */
public final class MembershipWatch {

  /** Time without a change after which a release is taken for ended. */
  static final long STEADY_MS = 5_000;

  /** Time after the last announcement for which targets that join are taken for replacements. */
  static final long RELEASE_MS = 30_000;

  private Set<Member> members = Set.of();
  private long changedMs;
  private OptionalLong announcedMs = OptionalLong.empty();

  private record Member(String id, long startedAtMs, boolean isLeaving) {}

  /**
   * Applies the present targets.
   *
   * @param entries all listed targets of a service
   * @param nowMs monotonic time in milliseconds
   * @return whether the members have been the same for {@link #STEADY_MS}
   */
  public boolean isSteady(List<TargetEntry> entries, long nowMs) {
    Set<Member> current = new HashSet<>();
    for (TargetEntry entry : entries) {
      current.add(new Member(entry.id(), entry.startedAtMs(), entry.isLeaving()));
    }
    if (!members.containsAll(current)) {
      changedMs = nowMs;
    }
    if (current.stream().anyMatch(member -> member.isLeaving() && !members.contains(member))) {
      announcedMs = OptionalLong.of(nowMs);
    }
    members = current;
    return nowMs - changedMs >= STEADY_MS;
  }

  /**
   * Returns whether a target has announced its leaving in the last {@link #RELEASE_MS}.
   *
   * @param nowMs monotonic time in milliseconds
   * @return true if targets that join probably replace others
   */
  public boolean isReleasing(long nowMs) {
    return announcedMs.isPresent() && nowMs - announcedMs.getAsLong() < RELEASE_MS;
  }
}
