package org.gooseberryhook.transport;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.coordination.OnceCall;
import org.gooseberryhook.coordination.OnceEvent;
import org.gooseberryhook.coordination.OnceRequest;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.PlainServiceClient;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.ServiceSpec;
import org.jboss.logging.Logger;

/**
 * Runs the once-only calls of this node: carries out the decisions of each {@link OnceCall} with
 * the table service and the plain services. All decisions are made on one thread, which never waits
 * for input or output.
 *
 * <p>At most {@link #MAX_CALLS} callers wait at a time; further calls are refused as {@code
 * not-run}. At most {@link #MAX_SETTLING_CALLS} calls whose result was returned are settled in the
 * background, with at most {@link #MAX_SETTLING_OPERATIONS} reads, writes and lookups in flight.
 * When there would be more calls, the oldest is dropped; its record stays {@code CLAIMED} or {@code
 * UNKNOWN} until a caller uses the key again.
 *
 * @since 0.1
 */
public final class OnceCallService {

  /** Most callers that wait at the same time; further calls are refused. */
  public static final int MAX_CALLS = 5_000;

  /** Most calls that are settled in the background after their result was returned. */
  public static final int MAX_SETTLING_CALLS = 2_000;

  /** Most background reads, writes and lookups in flight. */
  public static final int MAX_SETTLING_OPERATIONS = 32;

  /** Longest time allowed for a call, in milliseconds; a later deadline is shortened to it. */
  public static final long MAX_DEADLINE_MS = 120_000;

  /** Longest idempotency key in characters. */
  public static final int MAX_KEY_CHARS = 256;

  private static final Logger LOG = Logger.getLogger(OnceCallService.class);
  private static final long RETRY_AFTER_MS = 1_000;
  private static final char DELETE_CHAR = 0x7f;

  private final Ports ports;
  private final String nodeAddress;
  private final RandomGenerator random;
  private final ScheduledThreadPoolExecutor executor;
  private final OnceRecordWriter writer;
  private final Set<CompletableFuture<OnceResult>> openResults = ConcurrentHashMap.newKeySet();
  private final LinkedHashSet<OnceCallRun> settling = new LinkedHashSet<>();
  private int settlingPermitsUsed;
  private volatile boolean isStopping;

  /**
   * Ports and clocks of the service.
   *
   * @param table stores the once-only records
   * @param client calls the plain services
   * @param specs declared service by name; null if none is declared
   * @param addresses base URLs of the targets that may be called now, by service name
   * @param nanoClock monotonic clock in nanoseconds
   * @param epochMsClock wall clock in milliseconds, only for reports and expiry
   * @since 0.1
   */
  public record Ports(
      TableService table,
      PlainServiceClient client,
      Function<String, ServiceSpec> specs,
      Function<String, List<String>> addresses,
      LongSupplier nanoClock,
      LongSupplier epochMsClock) {}

  /**
   * Creates the service; {@link #start} must follow.
   *
   * @param ports ports and clocks of the service
   * @param nodeAddress peer address of this node
   * @param random source of target choice and jitter
   */
  public OnceCallService(Ports ports, String nodeAddress, RandomGenerator random) {
    this.ports = ports;
    this.nodeAddress = nodeAddress;
    this.random = random;
    this.executor =
        new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "once-calls-" + nodeAddress));
    this.executor.setRemoveOnCancelPolicy(true);
    this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    this.writer =
        new OnceRecordWriter(ports.table(), executor, ports.nanoClock(), ports.epochMsClock());
  }

  /** Starts the thread on which all decisions are made. */
  public void start() {
    executor.prestartCoreThread();
  }

  /** Refuses new calls from now on; callers that wait still receive their result. */
  public void refuseNew() {
    isStopping = true;
  }

  /**
   * Returns the number of callers that wait for a result.
   *
   * @return the count
   */
  public int getOpenCount() {
    return openResults.size();
  }

  /**
   * Refuses new calls, waits for those that run and ends the thread. Callers that still wait after
   * the timeout receive {@code unknown}; background settling is dropped.
   *
   * @param timeoutMs longest wait in milliseconds
   */
  public void stop(long timeoutMs) {
    refuseNew();
    CompletableFuture.allOf(openResults.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS)
        .join();
    executor.shutdownNow();
    openResults.forEach(
        result ->
            result.complete(
                new OnceResult.Unknown("the node stopped before the call was settled")));
  }

  /**
   * Calls an operation at most once for its key.
   *
   * @param workspace the workspace
   * @param service name of a declared service
   * @param operation name of the operation
   * @param key the caller's idempotency key
   * @param body body in UTF-8 text
   * @param deadlineNanos deadline on the monotonic clock
   * @return the result; completes soon after the deadline at the latest, never exceptionally;
   *     dependent stages must not block the completing thread
   */
  public CompletableFuture<OnceResult> call(
      String workspace,
      String service,
      String operation,
      String key,
      String body,
      long deadlineNanos) {
    return submit(
        new OnceCallRun.Subject(workspace, service, operation, key),
        body,
        deadlineNanos,
        new OnceEvent.Start());
  }

  /**
   * Returns the outcome of the calls with a key, without calling the service's operation.
   *
   * @param workspace the workspace
   * @param service name of a declared service
   * @param key the caller's idempotency key
   * @param deadlineNanos deadline on the monotonic clock
   * @return the result; never {@code not-run} for a valid query that was accepted, because a call
   *     with this key may still be on its way
   */
  public CompletableFuture<OnceResult> outcome(
      String workspace, String service, String key, long deadlineNanos) {
    return submit(
        new OnceCallRun.Subject(workspace, service, "", key),
        null,
        deadlineNanos,
        new OnceEvent.Query());
  }

  private CompletableFuture<OnceResult> submit(
      OnceCallRun.Subject subject, String body, long deadlineNanos, OnceEvent first) {
    ServiceSpec spec = ports.specs().apply(subject.service());
    Problem problem = findProblem(subject, spec);
    if (problem != null) {
      return CompletableFuture.completedFuture(new OnceResult.NotRun(problem));
    }
    long latestDeadlineNanos =
        ports.nanoClock().getAsLong() + TimeUnit.MILLISECONDS.toNanos(MAX_DEADLINE_MS);
    long boundedDeadlineNanos =
        deadlineNanos - latestDeadlineNanos < 0 ? deadlineNanos : latestDeadlineNanos;
    String digest = body == null ? "" : OnceRecord.digestOf(subject.operation(), body);
    CompletableFuture<OnceResult> result = new CompletableFuture<>();
    openResults.add(result);
    result.whenComplete((value, error) -> openResults.remove(result));
    // Checked again after the call is counted, so that a stop refuses the call or waits for it.
    if (isStopping) {
      result.complete(new OnceResult.NotRun(stoppingProblem()));
      return result;
    }
    try {
      executor.execute(
          () -> {
            OnceCall call = new OnceCall(toRequest(spec, digest, boundedDeadlineNanos), random);
            new OnceCallRun(this, subject, body, call, result).begin(first, boundedDeadlineNanos);
          });
    } catch (RejectedExecutionException e) {
      result.complete(new OnceResult.NotRun(stoppingProblem()));
    }
    return result;
  }

  private OnceRequest toRequest(ServiceSpec spec, String digest, long deadlineNanos) {
    // Equal claim ids at two nodes would let both dispatch the call, so claim ids never come from
    // the random generator given to this service, which may be seeded.
    String claimId = UUID.randomUUID().toString();
    return new OnceRequest(
        claimId,
        nodeAddress,
        digest,
        spec.hasLookup(),
        deadlineNanos,
        ports.epochMsClock().getAsLong());
  }

  private Problem findProblem(OnceCallRun.Subject subject, ServiceSpec spec) {
    if (isStopping) {
      return stoppingProblem();
    } else if (openResults.size() >= MAX_CALLS) {
      return Problem.ofRetry(
          ProblemKind.OVERLOADED, "too many once-only calls wait", RETRY_AFTER_MS);
    } else if (spec == null) {
      return Problem.of(ProblemKind.NOT_FOUND, "service " + subject.service() + " is not declared");
    } else if (subject.workspace().contains("/") || subject.service().contains("/")) {
      return Problem.of(
          ProblemKind.BAD_REQUEST, "the workspace id and the service name must not contain '/'");
    } else if (subject.key().isEmpty()
        || subject.key().length() > MAX_KEY_CHARS
        || !subject.key().chars().allMatch(c -> c > ' ' && c < DELETE_CHAR)) {
      // The key becomes a header field of the call to the service.
      return Problem.of(
          ProblemKind.BAD_REQUEST,
          "Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " visible ASCII characters");
    }
    return null;
  }

  private static Problem stoppingProblem() {
    return Problem.ofRetry(ProblemKind.NOT_READY, "the node is stopping", RETRY_AFTER_MS);
  }

  /**
   * Tracks a run as background settling from the return of its result until it is done. Drops the
   * oldest run if there are more than {@link #MAX_SETTLING_CALLS}.
   */
  void trackSettling(OnceCallRun run) {
    if (run.isDone()) {
      settling.remove(run);
    } else if (run.hasReturnedResult()
        && settling.add(run)
        && settling.size() > MAX_SETTLING_CALLS) {
      OnceCallRun oldestRun = settling.iterator().next();
      settling.remove(oldestRun);
      oldestRun.drop();
      LOG.warnf(
          "dropped the background settling of once-only record %s: the limit is %d calls",
          oldestRun.getKey(), MAX_SETTLING_CALLS);
    }
  }

  /** Takes a permit for a background operation; returns false if all are taken. */
  boolean tryAcquireSettlingPermit() {
    if (settlingPermitsUsed == MAX_SETTLING_OPERATIONS) {
      return false;
    }
    settlingPermitsUsed++;
    return true;
  }

  void releaseSettlingPermit() {
    settlingPermitsUsed--;
  }

  Ports getPorts() {
    return ports;
  }

  OnceRecordWriter getWriter() {
    return writer;
  }

  ScheduledThreadPoolExecutor getExecutor() {
    return executor;
  }

  RandomGenerator getRandom() {
    return random;
  }
}
