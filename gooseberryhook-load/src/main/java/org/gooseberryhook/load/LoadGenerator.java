package org.gooseberryhook.load;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.load.Experiment.ModelShape;
import org.gooseberryhook.load.Experiment.ServiceShape;
import org.gooseberryhook.protocol.Json;

/**
 * Runs an experiment as an open-loop load generator: requests are sent by schedule whether or not
 * earlier ones have ended, and latency counts from the intended arrival, so it includes stalls of
 * the system and of this tool (no coordinated omission).
 *
 * @since 0.1
 */
public final class LoadGenerator {

  /** Time after the request deadline in which the last requests may still end. */
  private static final long DRAIN_GRACE_MS = 5_000;

  private static final long DRAIN_POLL_MS = 20;

  /** Delay before the start, so that pool and clients exist when the first arrival is due. */
  private static final long LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD", "DELETE");
  private static final MediaType JSON = MediaType.get("application/json");

  private final Experiment experiment;
  private final Map<String, FaultAction> actions;
  private final Consumer<Progress> listener;

  /**
   * Creates a generator.
   *
   * @param experiment the experiment, with one or two variants
   * @param actions fault actions by name
   * @param listener receives the progress once a second
   * @throws IllegalArgumentException if there is no variant or a fault names an unknown action
   */
  public LoadGenerator(
      Experiment experiment, Map<String, FaultAction> actions, Consumer<Progress> listener) {
    if (experiment.variants().isEmpty()) {
      throw new IllegalArgumentException(
          "no entry node is configured; give --target or tables [[variants]]");
    }
    for (Experiment.Fault fault : experiment.faults()) {
      if (!fault.action().isEmpty() && !actions.containsKey(fault.action())) {
        throw new IllegalArgumentException(
            "fault '"
                + fault.name()
                + "' names action '"
                + fault.action()
                + "', which is not one"
                + " of "
                + actions.keySet()
                + "; use 'url' for an HTTP request");
      }
    }
    this.experiment = experiment;
    this.actions = Map.copyOf(actions);
    this.listener = listener;
  }

  /**
   * Progress of a run.
   *
   * @param elapsedMs time since the start, in milliseconds
   * @param arrived requests that arrived
   * @param completed requests that completed
   * @param failed requests that failed
   * @param inFlight requests that have neither completed nor failed
   * @param violations violations so far
   */
  public record Progress(
      long elapsedMs, long arrived, long completed, long failed, long inFlight, long violations) {}

  /**
   * Runs the experiment to its end.
   *
   * @return the measurements, never null
   * @throws InterruptedException if the thread is interrupted; the run stops then
   */
  public LoadResult run() throws InterruptedException {
    long startNanos = System.nanoTime() + LEAD_NANOS;
    Measurements measurements = new Measurements(experiment, startNanos);
    // The wall-clock time keeps the idempotency keys of two runs with the same seed different.
    String runId = experiment.seed() + "-" + Long.toString(System.currentTimeMillis(), 36);
    CallContext context = new CallContext(experiment, measurements, startNanos, runId);
    ExecutorService faultThread =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "load-faults");
              thread.setDaemon(true);
              return thread;
            });
    try {
      scheduleProgress(context);
      scheduleFaults(context, faultThread);
      sendAll(context);
      drain(measurements);
      compareEffects(context);
      return measurements.toResult();
    } finally {
      faultThread.shutdownNow();
      context.stop();
    }
  }

  private void sendAll(CallContext context) throws InterruptedException {
    ArrivalSchedule schedule = new ArrivalSchedule(experiment, experiment.variants().size());
    for (Optional<PlannedRequest> next = schedule.next();
        next.isPresent();
        next = schedule.next()) {
      PlannedRequest planned = next.get();
      waitUntil(context.startNanos + planned.atNanos());
      context.measurements.onArrival(planned);
      context.submit(newTask(context, planned));
    }
    waitUntil(context.startNanos + TimeUnit.MILLISECONDS.toNanos(experiment.durationMs()));
  }

  private static RequestTask newTask(CallContext context, PlannedRequest planned) {
    if (planned.shape() instanceof ModelShape shape) {
      return new ModelRequestTask(context, planned, shape);
    }
    return new ServiceRequestTask(context, planned, (ServiceShape) planned.shape());
  }

  private static void waitUntil(long dueNanos) throws InterruptedException {
    long waitNanos = dueNanos - System.nanoTime();
    while (waitNanos > 0) {
      LockSupport.parkNanos(waitNanos);
      if (Thread.interrupted()) {
        throw new InterruptedException("the run was interrupted");
      }
      waitNanos = dueNanos - System.nanoTime();
    }
  }

  /** Waits for the last responses; requests still open at the deadline count as failed. */
  private void drain(Measurements measurements) throws InterruptedException {
    long deadlineNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(experiment.caller().timeoutMs() + DRAIN_GRACE_MS);
    while (measurements.getInFlight() > 0 && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(DRAIN_POLL_MS);
    }
    for (long open = measurements.getInFlight(); open > 0; open--) {
      measurements.countProblem("no-answer");
      measurements.onFailed(System.nanoTime());
    }
  }

  private void scheduleProgress(CallContext context) {
    Measurements measurements = context.measurements;
    context
        .getTimer()
        .scheduleAtFixedRate(
            () ->
                listener.accept(
                    new Progress(
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - context.startNanos),
                        measurements.get(Count.ARRIVED),
                        measurements.get(Count.COMPLETED),
                        measurements.get(Count.FAILED),
                        measurements.getInFlight(),
                        measurements.getViolationCount())),
            1,
            1,
            TimeUnit.SECONDS);
  }

  private void scheduleFaults(CallContext context, ExecutorService faultThread) {
    for (FaultTracker tracker : context.measurements.getFaultTrackers()) {
      long delayNanos =
          context.startNanos
              + TimeUnit.MILLISECONDS.toNanos(tracker.fault.atMs())
              - System.nanoTime();
      context
          .getTimer()
          .schedule(
              () -> faultThread.execute(() -> inject(context, tracker)),
              delayNanos,
              TimeUnit.NANOSECONDS);
    }
  }

  private void inject(CallContext context, FaultTracker tracker) {
    tracker.setInjected(System.nanoTime());
    try {
      if (tracker.fault.action().isEmpty()) {
        sendFault(context.getClient(false), tracker.fault);
      } else {
        actions.get(tracker.fault.action()).apply();
      }
    } catch (IOException | RuntimeException e) {
      tracker.setError(String.valueOf(e.getMessage()));
      context.measurements.count(Count.FAULTS_NOT_APPLIED);
    }
  }

  private static void sendFault(OkHttpClient client, Experiment.Fault fault) throws IOException {
    RequestBody body =
        METHODS_WITHOUT_BODY.contains(fault.method())
            ? null
            : RequestBody.create(fault.body(), JSON);
    Request request = new Request.Builder().url(fault.url()).method(fault.method(), body).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(fault.url() + " returned status " + response.code());
      }
    }
  }

  private void compareEffects(CallContext context) {
    if (experiment.effectsUrl().isEmpty() || context.onceCalls.isEmpty()) {
      return;
    }
    Request request = new Request.Builder().url(experiment.effectsUrl()).build();
    try (Response response = context.getClient(false).newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("status " + response.code());
      }
      Map<String, Long> effects =
          Json.MAPPER.readValue(response.body().bytes(), new TypeReference<Map<String, Long>>() {});
      EffectCheck.Differences differences = EffectCheck.compare(context.onceCalls, effects);
      context.measurements.count(Count.LOST_EFFECTS, differences.lost());
      context.measurements.count(Count.DOUBLED_EFFECTS, differences.doubled());
      context.measurements.count(Count.FALSE_NOT_RUN, differences.falseNotRun());
    } catch (IOException e) {
      context.measurements.countProblem("effects: " + e.getMessage());
      context.measurements.count(Count.EFFECTS_NOT_COMPARED);
    }
  }
}
