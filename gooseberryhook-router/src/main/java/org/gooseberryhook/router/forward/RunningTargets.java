package org.gooseberryhook.router.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * The targets at which runs of a stream may be in progress. Immutable.
 *
 * <p>All runs of a stream have the attempt id of its caller. A target that knows runs by that id
 * alone may hand a token of one run to the heads of two, so that the caller gets it twice under
 * growing ids. Closing the connection to a head does not show that the run has ended: the close may
 * arrive late, and not all targets end a run then. A run whose connection broke is ended by the
 * other targets after a time, so that its targets are only avoided while there are others.
 *
 * @param runs the runs that are not known to be over, in order
 * @param elsewhere addresses of the targets at which other nodes may have runs
 */
record RunningTargets(List<Run> runs, Set<String> elsewhere) {

  /** No run. */
  static final RunningTargets NONE = new RunningTargets(List.of(), Set.of());

  /**
   * A run that is not known to be over.
   *
   * @param attempt the attempt, compared by identity
   * @param head target that got the request
   * @param targets all targets that were part of its pipeline, with the head
   * @param isBroken whether the connection to its head was lost
   */
  record Run(Object attempt, TargetEntry head, Set<TargetEntry> targets, boolean isBroken) {
    Run {
      targets = Set.copyOf(targets);
    }

    /** Returns whether the other targets end the run because they cannot reach its head. */
    private boolean isEnding(Predicate<TargetEntry> hasEnded) {
      return isBroken || hasEnded.test(head);
    }
  }

  RunningTargets {
    runs = List.copyOf(runs);
    elsewhere = Set.copyOf(elsewhere);
  }

  /** Returns whether no run may be in progress. */
  boolean isEmpty() {
    return runs.isEmpty() && elsewhere.isEmpty();
  }

  /**
   * Adds the targets of a pipeline to the run of an attempt. Those of its earlier pipelines stay,
   * since a target that the head no longer uses may still have the run.
   *
   * @param attempt the attempt
   * @param pipeline pipeline that the request is sent to, or that its head is told to use
   * @return the new value, never null
   */
  RunningTargets with(Object attempt, ModelPipeline pipeline) {
    Set<TargetEntry> targets = new HashSet<>();
    pipeline.stages().forEach(stage -> targets.add(stage.target()));
    find(attempt).ifPresent(run -> targets.addAll(run.targets()));
    return replace(attempt, Stream.of(new Run(attempt, pipeline.head(), targets, false)));
  }

  /**
   * Records that the connection of an attempt was lost, so that its targets end the run.
   *
   * @param attempt the attempt
   * @return the new value, never null
   */
  RunningTargets withBroken(Object attempt) {
    return replace(
        attempt,
        find(attempt).stream().map(run -> new Run(attempt, run.head(), run.targets(), true)));
  }

  /**
   * Records that the run of an attempt is over, as a response has shown.
   *
   * @param attempt the attempt
   * @return the new value, never null
   */
  RunningTargets without(Object attempt) {
    return replace(attempt, Stream.empty());
  }

  /**
   * Adds targets at which another node may have a run. Nothing tells this node when it is over.
   *
   * @param addresses addresses of the targets
   * @return the new value, never null
   */
  RunningTargets withElsewhere(Set<String> addresses) {
    return new RunningTargets(runs, union(elsewhere, addresses));
  }

  private static Set<String> union(Set<String> addresses, Set<String> others) {
    return Stream.concat(addresses.stream(), others.stream()).collect(Collectors.toSet());
  }

  private Optional<Run> find(Object attempt) {
    return runs.stream().filter(run -> run.attempt() == attempt).findFirst();
  }

  private RunningTargets replace(Object attempt, Stream<Run> replacement) {
    Stream<Run> others = runs.stream().filter(run -> run.attempt() != attempt);
    return new RunningTargets(Stream.concat(others, replacement).toList(), elsewhere);
  }

  /**
   * Returns the addresses that no other run of the stream may use.
   *
   * @param present attempt whose own targets are left out, null if there is none
   * @param hasEnded whether a target is known to have ended, with all its runs
   * @return addresses of the targets at which another run may be in progress
   */
  Set<String> forbiddenTo(Object present, Predicate<TargetEntry> hasEnded) {
    Stream<Run> others = runs.stream().filter(run -> run.attempt() != present);
    return union(addresses(others.filter(run -> !run.isEnding(hasEnded)), hasEnded), elsewhere);
  }

  /**
   * Returns the addresses of the targets at which this node may have a run in progress.
   *
   * @param hasEnded whether a target is known to have ended, with all its runs
   * @return addresses, without those at which only another node may have a run
   */
  Set<String> ownAddresses(Predicate<TargetEntry> hasEnded) {
    return addresses(runs.stream().filter(run -> !run.isEnding(hasEnded)), hasEnded);
  }

  /**
   * Returns the pipelines on which a further run may start.
   *
   * @param pipelines pipelines to choose from
   * @param hasEnded whether a target is known to have ended, with all its runs
   * @return those that use no target at which a run may be in progress
   */
  List<ModelPipeline> allowed(List<ModelPipeline> pipelines, Predicate<TargetEntry> hasEnded) {
    return without(pipelines, forbiddenTo(null, hasEnded));
  }

  /**
   * Returns the pipelines on which a further run should rather start.
   *
   * @param pipelines pipelines to choose from
   * @param hasEnded whether a target is known to have ended, with all its runs
   * @return those that use no target of any run, nor of one that is about to be ended
   */
  List<ModelPipeline> preferred(List<ModelPipeline> pipelines, Predicate<TargetEntry> hasEnded) {
    return without(pipelines, union(addresses(runs.stream(), hasEnded), elsewhere));
  }

  private static List<ModelPipeline> without(List<ModelPipeline> pipelines, Set<String> addresses) {
    return addresses.isEmpty()
        ? pipelines
        : pipelines.stream().filter(p -> addresses.stream().noneMatch(p::uses)).toList();
  }

  private static Set<String> addresses(Stream<Run> runs, Predicate<TargetEntry> hasEnded) {
    return runs.flatMap(run -> run.targets().stream())
        .filter(target -> !hasEnded.test(target))
        .map(TargetEntry::address)
        .collect(Collectors.toUnmodifiableSet());
  }
}
