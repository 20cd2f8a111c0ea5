package org.gooseberryhook.daemon;

import java.util.List;
import java.util.Set;
import org.gooseberryhook.load.LocalLayout;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;

/** Layout of the demo's cluster: its nodes, targets, model, service and contract. */
final class DemoLayout {

  static final String MODEL_ID = "ramp-drafts";
  static final String MODEL_VERSION = "v1";
  static final int LAYER_COUNT = 32;
  static final String SERVICE_NAME = "booking";
  static final String ONCE_ONLY_OPERATION = "book";
  static final String WORKSPACE_ID = "franchise-north";
  static final String CALLER_KEY = "demo-key";

  private static final int NODE_COUNT = 3;
  private static final int STAGE_COUNT = 4;
  private static final int PIPELINE_COUNT = 6;
  private static final int MAX_RUNNING = 32;
  private static final long STEP_MICROS = 8_000;
  private static final long PREFILL_MICROS_PER_TOKEN = 50;
  private static final int SERVICE_REPLICAS = 3;
  private static final long DRAIN_TIMEOUT_MS = 10_000;

  private DemoLayout() {}

  static LocalLayout get() {
    return new LocalLayout(
        "khomas",
        List.of("khomas-a", "khomas-b", "khomas-c"),
        NODE_COUNT,
        MODEL_ID,
        MODEL_VERSION,
        LAYER_COUNT,
        STAGE_COUNT,
        PIPELINE_COUNT,
        MAX_RUNNING,
        STEP_MICROS,
        PREFILL_MICROS_PER_TOKEN,
        SERVICE_NAME,
        ONCE_ONLY_OPERATION,
        SERVICE_REPLICAS,
        List.of(newContract(200)),
        DRAIN_TIMEOUT_MS);
  }

  static Contract newContract(int requestsPerSecond) {
    return new Contract(
        WORKSPACE_ID,
        PriorityClass.INTERACTIVE,
        requestsPerSecond,
        2.0 * requestsPerSecond,
        500.0 * requestsPerSecond,
        1_000.0 * requestsPerSecond,
        10 * requestsPerSecond,
        Set.of(MODEL_ID),
        Set.of(SERVICE_NAME),
        370,
        53,
        20,
        60_000,
        List.of(CallerKeys.digestOf(CALLER_KEY)));
  }
}
