package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Versioned;

/**
 * HTTP interface for callers.
 *
 * @since 0.1
 */
public final class CallerApi {

  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_REQUEST_ID_CHARS = 128;
  private static final long DEFAULT_TIMEOUT_MS = 60_000;
  private static final String BEARER = "Bearer ";

  private final String host;
  private final int port;
  private final Supplier<Configuration> configuration;
  private final ModelCallService modelCalls;
  private final Supplier<List<String>> addresses;
  private final Executor worker;
  private NettyServer server;

  /**
   * Creates an interface.
   *
   * @param callerAddress {@code ip:port} to listen on
   * @param configuration the configuration in force
   * @param modelCalls runs model calls
   * @param addresses the caller addresses of the nodes, best first
   * @param worker bounded pool for the handlers
   */
  public CallerApi(
      String callerAddress,
      Supplier<Configuration> configuration,
      ModelCallService modelCalls,
      Supplier<List<String>> addresses,
      Executor worker) {
    int colon = callerAddress.lastIndexOf(':');
    this.host = callerAddress.substring(0, colon);
    this.port = Integer.parseInt(callerAddress.substring(colon + 1));
    this.configuration = configuration;
    this.modelCalls = modelCalls;
    this.addresses = addresses;
    this.worker = worker;
  }

  /** Starts listening. */
  public void start() {
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setWorker(worker);
    app.post("/v1/completions", context -> callModel(context, false));
    app.post("/v1/chat/completions", context -> callModel(context, true));
    app.get("/v1/models", this::listModels);
    app.get("/v1/addresses", this::listAddresses);
    app.post("/v1/requests/{requestId}/cancel", this::cancel);
    app.get("/livez", context -> context.send("ok"));
    app.error(CallerApi::onError);
    ServerOptions options = new ServerOptions();
    options.setHost(host);
    options.setPort(port);
    options.setMaxRequestSize(MAX_BODY_BYTES);
    options.setMaxHeaderSize(MAX_HEADER_BYTES);
    server = new NettyServer();
    server.setOptions(options);
    server.start(app);
  }

  /** Stops listening. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  private Object callModel(Context context, boolean isChat) {
    Optional<Contract> contract = authenticate(context);
    if (contract.isEmpty()) {
      return unauthenticated(context);
    }
    ModelRequestBody body;
    try {
      body = ModelRequestBody.read(context.body().bytes());
    } catch (ModelRequestBody.BadBodyException e) {
      return Problems.send(context, Problem.of(ProblemKind.BAD_REQUEST, e.getMessage()));
    }
    Optional<ModelSpec> model = configuration.get().getModel(body.model());
    if (model.isEmpty()) {
      return Problems.send(
          context, Problem.of(ProblemKind.NOT_FOUND, "model " + body.model() + " is not declared"));
    }
    if (!contract.get().models().contains(body.model())) {
      return Problems.send(
          context,
          Problem.of(ProblemKind.FORBIDDEN, "the contract does not name model " + body.model()));
    }
    String requestId = context.header("X-Request-Id").value(UUID.randomUUID().toString());
    if (requestId.length() > MAX_REQUEST_ID_CHARS) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.BAD_REQUEST,
              "X-Request-Id is longer than " + MAX_REQUEST_ID_CHARS + " characters"));
    }
    context.setResponseHeader("X-Request-Id", requestId);
    ModelCall call = toCall(context, contract.get(), body, requestId);
    modelCalls.submit(
        call, model.get().layerCount(), new ModelAnswerWriter(context, requestId, body, isChat));
    return context;
  }

  private static ModelCall toCall(
      Context context, Contract contract, ModelRequestBody body, String requestId) {
    long timeoutMs = context.header("X-Request-Timeout-Ms").longValue(DEFAULT_TIMEOUT_MS);
    boolean isBatch =
        contract.priorityClass() == PriorityClass.BATCH || "batch".equals(body.priority());
    return new ModelCall(
        requestId,
        contract.workspaceId(),
        body.model(),
        body.getPrompt(),
        body.getMaxTokens(),
        isBatch ? PriorityClass.BATCH : PriorityClass.INTERACTIVE,
        Math.max(1, Math.min(timeoutMs, contract.maxDeadlineMs())),
        body.getResumeTokenIds());
  }

  private Object listModels(Context context) throws JsonProcessingException {
    Optional<Contract> contract = authenticate(context);
    if (contract.isEmpty()) {
      return unauthenticated(context);
    }
    List<Map<String, Object>> models =
        contract.get().models().stream()
            .sorted()
            .map(model -> Map.<String, Object>of("id", model, "object", "model"))
            .toList();
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("object", "list");
    body.put("data", models);
    return sendJson(context, body);
  }

  private Object listAddresses(Context context) throws JsonProcessingException {
    Optional<Contract> contract = authenticate(context);
    if (contract.isEmpty()) {
      return unauthenticated(context);
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("addresses", addresses.get());
    body.put("valid_for_ms", 10_000);
    return sendJson(context, body);
  }

  private Object cancel(Context context) throws JsonProcessingException {
    Optional<Contract> contract = authenticate(context);
    if (contract.isEmpty()) {
      return unauthenticated(context);
    }
    String requestId = context.path("requestId").value();
    boolean isCancelled = modelCalls.cancel(contract.get().workspaceId(), requestId);
    if (!isCancelled) {
      return Problems.send(
          context,
          new Problem(
              ProblemKind.NOT_FOUND,
              "request " + requestId + " is not running at this node",
              Outcome.UNKNOWN,
              0));
    }
    return sendJson(context, Map.of("id", requestId, "cancelled", true));
  }

  private Optional<Contract> authenticate(Context context) {
    String header = context.header("Authorization").value("");
    if (!header.startsWith(BEARER)) {
      return Optional.empty();
    }
    String digest = CallerKeys.digestOf(header.substring(BEARER.length()).trim());
    for (Versioned<Contract> entry : configuration.get().contracts().values()) {
      for (String known : entry.value().callerKeyDigests()) {
        if (CallerKeys.isSame(known, digest)) {
          return Optional.of(entry.value());
        }
      }
    }
    return Optional.empty();
  }

  private static Object unauthenticated(Context context) {
    return Problems.send(
        context, Problem.of(ProblemKind.UNAUTHENTICATED, "the key is missing or not known"));
  }

  private static Object sendJson(Context context, Object body) throws JsonProcessingException {
    context.setResponseType(MediaType.json);
    return context.send(Json.MAPPER.writeValueAsBytes(body));
  }

  private static void onError(Context context, Throwable cause, StatusCode status) {
    ProblemKind kind =
        switch (status.value()) {
          case 400 -> ProblemKind.BAD_REQUEST;
          case 404, 405 -> ProblemKind.NOT_FOUND;
          case 413 -> ProblemKind.TOO_LARGE;
          default -> ProblemKind.INTERNAL;
        };
    String detail =
        kind == ProblemKind.INTERNAL
            ? "the node failed to handle the request"
            : context.getMethod() + " " + context.getRequestPath() + ": " + status.reason();
    Problems.send(context, Problem.of(kind, detail));
  }
}
