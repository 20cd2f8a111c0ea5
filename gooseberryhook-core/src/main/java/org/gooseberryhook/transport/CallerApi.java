package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.Server;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PriorityClass;

/**
 * HTTP interface for callers.
 *
 * @since 0.1
 */
public final class CallerApi {

  /** Time for which callers may cache the list of addresses, in milliseconds. */
  static final int ADDRESS_VALIDITY_MS = 10_000;

  private static final int MAX_REQUEST_ID_CHARS = 128;
  private static final long DEFAULT_TIMEOUT_MS = 60_000;
  private static final String VERSION_HEADER = "X-Model-Version";
  private static final String BEARER = "Bearer ";

  private final NodeSettings settings;
  private final ClusterService cluster;
  private final KeyIndex keys;
  private final ModelCallService modelCalls;
  private final ServiceCallApi serviceCalls;
  private final Function<String, List<String>> addresses;
  private final Executor worker;
  private Server server;

  /**
   * Creates an interface.
   *
   * @param settings listen address and request limits
   * @param cluster provides the configuration in force
   * @param keys finds the workspace of a caller key
   * @param modelCalls runs model calls
   * @param serviceCalls runs plain service calls
   * @param addresses returns the caller addresses of nodes for a workspace, best first
   * @param worker bounded pool for the handlers
   */
  public CallerApi(
      NodeSettings settings,
      ClusterService cluster,
      KeyIndex keys,
      ModelCallService modelCalls,
      ServiceCallApi serviceCalls,
      Function<String, List<String>> addresses,
      Executor worker) {
    this.settings = settings;
    this.cluster = cluster;
    this.keys = keys;
    this.modelCalls = modelCalls;
    this.serviceCalls = serviceCalls;
    this.addresses = addresses;
    this.worker = worker;
  }

  /** Handles a request whose caller key belongs to a contract. */
  @FunctionalInterface
  interface CallerHandler {
    Object apply(Context context, Contract contract) throws Exception;
  }

  /**
   * Starts listening.
   *
   * @throws IllegalStateException if the port is in use
   */
  public void start() {
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setWorker(worker);
    app.use(HttpExchanges.headerLimit(settings.limits().maxHeaderBytes()));
    app.post(
        "/v1/completions",
        authenticated((context, contract) -> callModel(context, contract, false)));
    app.post(
        "/v1/chat/completions",
        authenticated((context, contract) -> callModel(context, contract, true)));
    app.get("/v1/models", authenticated(CallerApi::listModels));
    app.get("/v1/addresses", authenticated(this::listAddresses));
    app.post("/v1/requests/{requestId}/cancel", authenticated(this::cancel));
    app.post("/v1/services/{service}/{operation}", authenticated(serviceCalls::call));
    app.get("/v1/outcomes/{key}", authenticated(this::getOutcome));
    app.get("/livez", context -> context.send("ok"));
    app.error(Problems::sendError);
    server =
        HttpExchanges.start(
            app,
            "the caller API",
            settings.node().callerAddress(),
            settings.limits().maxBodyBytes(),
            settings.limits().maxHeaderBytes(),
            worker);
  }

  /** Stops listening. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  private Route.Handler authenticated(CallerHandler handler) {
    return context -> {
      if (!cluster.isReady()) {
        return Problems.send(
            context,
            Problem.ofRetry(
                ProblemKind.NOT_READY, "this node has no trusted configuration yet", 1_000));
      }
      String header = context.header("Authorization").value("");
      Optional<Contract> contract =
          header.startsWith(BEARER)
              ? keys.find(header.substring(BEARER.length()).trim(), cluster.getConfiguration())
              : Optional.empty();
      if (contract.isEmpty()) {
        return Problems.send(
            context, Problem.of(ProblemKind.UNAUTHENTICATED, "the key is missing or not known"));
      }
      long requestsPerSecond = Math.max(1, (long) contract.get().requestsPerSecond());
      context.setResponseHeader("RateLimit-Limit", Long.toString(requestsPerSecond));
      return handler.apply(context, contract.get());
    };
  }

  private Object callModel(Context context, Contract contract, boolean isChat) {
    if (modelCalls.getRunningCount() >= settings.limits().maxConcurrentRequests()) {
      return Problems.send(
          context,
          Problem.ofRetry(ProblemKind.OVERLOADED, "this node runs its most requests", 1_000));
    }
    Optional<Problem> typeProblem = HttpExchanges.findContentTypeProblem(context);
    if (typeProblem.isPresent()) {
      return Problems.send(context, typeProblem.get());
    }
    ModelRequestBody body;
    try {
      body = ModelRequestBody.read(context.body().bytes());
    } catch (ModelRequestBody.BadBodyException e) {
      return badRequest(context, e.getMessage());
    }
    Optional<ModelSpec> model = cluster.getConfiguration().getModel(body.model());
    if (model.isEmpty()) {
      return Problems.send(
          context, Problem.of(ProblemKind.NOT_FOUND, "model " + body.model() + " is not declared"));
    }
    if (!contract.models().contains(body.model())) {
      return Problems.send(
          context,
          Problem.of(ProblemKind.FORBIDDEN, "the contract does not name model " + body.model()));
    }
    String requestId = context.header("X-Request-Id").value(UUID.randomUUID().toString());
    if (requestId.isEmpty() || requestId.length() > MAX_REQUEST_ID_CHARS) {
      return badRequest(
          context, "X-Request-Id has no characters or more than " + MAX_REQUEST_ID_CHARS);
    }
    String resumeFrom = context.header("X-Resume-From").value("");
    boolean isResumeMismatch =
        !resumeFrom.isEmpty()
            && !resumeFrom.equals(Integer.toString(body.getResumeTokenIds().size()));
    if (isResumeMismatch) {
      return badRequest(
          context,
          "X-Resume-From is "
              + resumeFrom
              + " but resume_token_ids has "
              + body.getResumeTokenIds().size()
              + " tokens");
    }
    long timeoutMs = timeoutOf(context, contract);
    if (timeoutMs <= 0) {
      return badRequest(context, "X-Request-Timeout-Ms is no positive number of milliseconds");
    }
    context.setResponseHeader("X-Request-Id", requestId);
    ModelCall call = toCall(contract, body, requestId, timeoutMs);
    ModelSpec versionedModel = withChosenVersion(context, body, model.get(), requestId);
    context.setResponseHeader(VERSION_HEADER, versionedModel.modelVersion());
    modelCalls.submit(
        call, contract, versionedModel, new ModelResponseWriter(context, requestId, body, isChat));
    return context;
  }

  /**
   * Returns the model in the version to run. A resumed response must continue in the model version
   * that produced its first part; if no pipeline serves that version any more, the request is not
   * run.
   */
  private ModelSpec withChosenVersion(
      Context context, ModelRequestBody body, ModelSpec declared, String requestId) {
    String requestedVersion = context.header(VERSION_HEADER).value("");
    return body.getResumeTokenIds().isEmpty() || requestedVersion.isEmpty()
        ? modelCalls.chooseVersion(declared, requestId)
        : declared.withVersion(requestedVersion);
  }

  /**
   * Returns the time allowed for a request in milliseconds, at most the contract's. The result is 0
   * or negative if the header X-Request-Timeout-Ms is not a positive whole number.
   */
  static long timeoutOf(Context context, Contract contract) {
    String text = context.header("X-Request-Timeout-Ms").value("");
    if (text.isEmpty()) {
      return Math.min(DEFAULT_TIMEOUT_MS, contract.maxDeadlineMs());
    }
    try {
      return Math.min(Long.parseLong(text), contract.maxDeadlineMs());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static ModelCall toCall(
      Contract contract, ModelRequestBody body, String requestId, long timeoutMs) {
    boolean isBatch =
        contract.priorityClass() == PriorityClass.BATCH || "batch".equals(body.priority());
    return new ModelCall(
        requestId,
        contract.workspaceId(),
        body.model(),
        body.getPrompt(),
        body.getMaxTokens(),
        isBatch ? PriorityClass.BATCH : PriorityClass.INTERACTIVE,
        timeoutMs,
        body.getResumeTokenIds());
  }

  private static Object listModels(Context context, Contract contract)
      throws JsonProcessingException {
    List<Map<String, Object>> models =
        contract.models().stream().sorted().map(CallerApi::describeModel).toList();
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("object", "list");
    body.put("data", models);
    return HttpExchanges.sendJson(context, body);
  }

  private static Map<String, Object> describeModel(String modelId) {
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("id", modelId);
    model.put("object", "model");
    return model;
  }

  private Object listAddresses(Context context, Contract contract) throws JsonProcessingException {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("addresses", addresses.apply(contract.workspaceId()));
    body.put("valid_for_ms", ADDRESS_VALIDITY_MS);
    return HttpExchanges.sendJson(context, body);
  }

  private Object cancel(Context context, Contract contract) throws JsonProcessingException {
    String requestId = HttpExchanges.getPath(context, "requestId");
    if (!modelCalls.cancel(contract.workspaceId(), requestId)) {
      return Problems.send(
          context,
          new Problem(
              ProblemKind.NOT_FOUND,
              "request " + requestId + " is not running at this node",
              Outcome.UNKNOWN,
              0));
    }
    return HttpExchanges.sendJson(context, Map.of("id", requestId, "cancelled", true));
  }

  private Object getOutcome(Context context, Contract contract) throws Exception {
    String key = HttpExchanges.getPath(context, "key");
    if (modelCalls.isRunning(contract.workspaceId(), key)) {
      return HttpExchanges.sendJson(
          context, Map.of("key", key, "outcome", Outcome.RUNNING.getText()));
    }
    return serviceCalls.getOutcome(context, contract, key);
  }

  private static Object badRequest(Context context, String detail) {
    return Problems.send(context, Problem.of(ProblemKind.BAD_REQUEST, detail));
  }
}
