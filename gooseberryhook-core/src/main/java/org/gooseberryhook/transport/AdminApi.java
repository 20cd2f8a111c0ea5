package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import io.jooby.Server;
import io.jooby.StatusCode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.gooseberryhook.coordination.ChangeResult;
import org.gooseberryhook.coordination.ConfigurationWriter;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.ServiceSpec;
import org.gooseberryhook.state.Versioned;

/**
 * Administration API, metrics and health checks of a node. Records carry their log version as ETag;
 * a change needs the ETag that its author saw in {@code If-Match}, or {@code "0"} for a new record.
 *
 * @since 0.1
 */
public final class AdminApi {

  private static final ObjectMapper STRICT_MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long CHANGE_TIMEOUT_MS = 10_000;
  private static final long RETRY_AFTER_MS = 2_000;
  private static final int AUTHOR_CHARS = 12;
  private static final String NODE_GONE = "node-gone";
  private static final String BEARER = "Bearer ";

  private final String address;
  private final List<String> operatorKeyDigests;
  private final ClusterService cluster;
  private final ConfigurationWriter writer;
  private final AdminView view;
  private final NodeMetrics metrics;
  private final PlacementApi placement;
  private final Executor worker;
  private Server server;

  /**
   * Creates an API.
   *
   * @param settings addresses and operator keys
   * @param cluster the configuration in force
   * @param writer writes changes
   * @param view state of the node and actions of operators
   * @param metrics metrics to expose
   * @param placement routes of the plans
   * @param worker bounded pool for the handlers
   */
  public AdminApi(
      NodeSettings settings,
      ClusterService cluster,
      ConfigurationWriter writer,
      AdminView view,
      NodeMetrics metrics,
      PlacementApi placement,
      Executor worker) {
    this.address = settings.node().adminAddress();
    this.operatorKeyDigests = settings.operators().keyDigests();
    this.cluster = cluster;
    this.writer = writer;
    this.view = view;
    this.metrics = metrics;
    this.placement = placement;
    this.worker = worker;
  }

  /** JSON body that declares a planned change. */
  record PlannedChangeBody(String kind, String id, String reason) {}

  /** Starts listening. */
  public void start() {
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setWorker(worker);
    app.use(HttpExchanges.headerLimit(SettingsReader.MAX_HEADER_BYTES));
    addRecords(
        app,
        "contracts",
        configuration -> configuration.contracts(),
        body -> new ConfigurationChange.PutContract(STRICT_MAPPER.readValue(body, Contract.class)),
        ConfigurationChange.RemoveContract::new);
    addRecords(
        app,
        "models",
        configuration -> configuration.models(),
        body -> new ConfigurationChange.PutModel(STRICT_MAPPER.readValue(body, ModelSpec.class)),
        ConfigurationChange.RemoveModel::new);
    addRecords(
        app,
        "services",
        configuration -> configuration.services(),
        body ->
            new ConfigurationChange.PutService(STRICT_MAPPER.readValue(body, ServiceSpec.class)),
        ConfigurationChange.RemoveService::new);
    app.get(
        "/admin/v1/status",
        requireOperator(context -> HttpExchanges.sendJson(context, view.getStatus())));
    app.get("/admin/v1/changes", requireOperator(this::listChanges));
    app.get(
        "/admin/v1/planned-changes",
        requireOperator(context -> HttpExchanges.sendJson(context, view.getPlannedChanges())));
    app.post("/admin/v1/planned-changes", requireOperator(this::declareChange));
    app.delete("/admin/v1/planned-changes/{targetId}", requireOperator(this::cancelChange));
    app.get(
        "/admin/v1/crash-marks",
        requireOperator(context -> HttpExchanges.sendJson(context, view.getCrashMarks())));
    app.delete("/admin/v1/crash-marks/{fingerprint}", requireOperator(this::clearCrashMarks));
    placement.addTo(app, this::requireOperator);
    app.get("/metrics", this::getMetrics);
    app.get("/livez", context -> context.send("ok"));
    app.get("/readyz", this::getReady);
    app.error(AdminApi::onError);
    server =
        HttpExchanges.start(
            app,
            "the administration API",
            address,
            MAX_BODY_BYTES,
            SettingsReader.MAX_HEADER_BYTES,
            worker);
  }

  /** Stops listening. */
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  /** Reads a change from a request body. */
  @FunctionalInterface
  private interface ChangeReader {
    ConfigurationChange read(byte[] body) throws IOException;
  }

  private <T> void addRecords(
      Jooby app,
      String name,
      Function<Configuration, Map<String, Versioned<T>>> records,
      ChangeReader reader,
      Function<String, ConfigurationChange> remover) {
    String path = "/admin/v1/" + name;
    app.get(
        path,
        requireOperator(
            context -> HttpExchanges.sendJson(context, records.apply(cluster.getConfiguration()))));
    app.get(
        path + "/{id}",
        requireOperator(
            context -> {
              String id = HttpExchanges.getPath(context, "id");
              Versioned<T> found = records.apply(cluster.getConfiguration()).get(id);
              if (found == null) {
                return Problems.send(
                    context, Problem.of(ProblemKind.NOT_FOUND, name + "/" + id + " is not set"));
              }
              context.setResponseHeader("ETag", quote(found.version()));
              return HttpExchanges.sendJson(context, found.value());
            }));
    app.put(path + "/{id}", requireOperator(context -> put(context, reader)));
    app.delete(
        path + "/{id}",
        requireOperator(
            context -> submit(context, remover.apply(HttpExchanges.getPath(context, "id")))));
  }

  private Object put(Context context, ChangeReader reader) throws Exception {
    Optional<Problem> typeProblem = HttpExchanges.findContentTypeProblem(context);
    if (typeProblem.isPresent()) {
      return Problems.send(context, typeProblem.get());
    }
    ConfigurationChange change;
    try {
      change = reader.read(context.body().bytes());
    } catch (JsonProcessingException e) {
      return badRequest(context, "the body is not valid: " + e.getOriginalMessage());
    }
    String id = HttpExchanges.getPath(context, "id");
    String bodyId = change.recordKey().substring(change.recordKey().indexOf('/') + 1);
    if (!bodyId.equals(id)) {
      return badRequest(context, "the body names " + bodyId + " but the path names " + id);
    }
    // Slashes separate the parts of table keys, so an id with a slash could match another key.
    if (id.isEmpty() || id.indexOf('/') >= 0) {
      return badRequest(context, "the id '" + id + "' is empty or contains a slash");
    }
    Optional<Problem> refusal = view.checkCapacity(change);
    if (refusal.isPresent()) {
      return Problems.send(context, refusal.get());
    }
    if (context.query("dryRun").booleanValue(false)) {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("dryRun", true);
      body.put("wouldChange", change.recordKey());
      body.put("currentVersion", cluster.getConfiguration().version());
      return HttpExchanges.sendJson(context, body);
    }
    return submit(context, change);
  }

  private Object submit(Context context, ConfigurationChange change) throws Exception {
    String ifMatch = context.header("If-Match").value("");
    if (ifMatch.isEmpty()) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.PRECONDITION_REQUIRED,
              "If-Match is missing; send \"0\" for a new record"));
    }
    long expectedVersion;
    try {
      expectedVersion = Long.parseLong(ifMatch.replace("\"", ""));
    } catch (NumberFormatException e) {
      return badRequest(context, "If-Match is " + ifMatch + ", which is no ETag of this API");
    }
    ChangeResult result = change(context, change, expectedVersion);
    return result instanceof ChangeResult.ConflictWith conflict
        ? sendConflict(context, conflict, change, expectedVersion)
        : sendResult(context, result);
  }

  private ChangeResult change(Context context, ConfigurationChange change, long expectedVersion)
      throws InterruptedException, ExecutionException {
    String changeId = context.header("X-Change-Id").value(UUID.randomUUID().toString());
    try {
      ChangeResult result =
          writer
              .submit(
                  changeId, authorOf(context), System.currentTimeMillis(), change, expectedVersion)
              .get(CHANGE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      if (result instanceof ChangeResult.Accepted accepted) {
        cluster.onChangeAccepted(accepted.entry());
        view.onChangeAccepted(change);
      }
      return result;
    } catch (TimeoutException e) {
      return new ChangeResult.Unsettled(changeId, 0);
    }
  }

  /** Sends both versions, so that the operator whose change is refused can merge them. */
  private static Object sendConflict(
      Context context,
      ChangeResult.ConflictWith conflict,
      ConfigurationChange change,
      long expectedVersion)
      throws JsonProcessingException {
    Versioned<ConfigurationChange> current = conflict.current();
    Problem problem =
        Problem.of(
            ProblemKind.CONFLICT,
            change.recordKey()
                + " has version "
                + (current == null ? 0 : current.version())
                + ", not "
                + expectedVersion);
    Map<String, Object> body =
        Json.MAPPER.convertValue(
            problem.toBody(), new TypeReference<LinkedHashMap<String, Object>>() {});
    body.put("yourVersion", expectedVersion);
    body.put("yours", change);
    body.put("currentVersion", current == null ? 0 : current.version());
    body.put("current", current == null ? null : current.value());
    context.setResponseCode(ProblemKind.CONFLICT.getHttpStatus());
    context.setResponseType(MediaType.valueOf("application/problem+json"));
    return context.send(Json.MAPPER.writeValueAsBytes(body));
  }

  private Object sendResult(Context context, ChangeResult result) throws JsonProcessingException {
    if (result instanceof ChangeResult.Accepted accepted) {
      context.setResponseHeader("ETag", quote(accepted.version()));
      return HttpExchanges.sendJson(context, Map.of("version", accepted.version()));
    }
    if (result instanceof ChangeResult.Refused refused) {
      return Problems.send(
          context, Problem.ofRetry(ProblemKind.STORE_AWAY, refused.reason(), RETRY_AFTER_MS));
    }
    ChangeResult.Unsettled unsettled = (ChangeResult.Unsettled) result;
    return Problems.send(
        context,
        new Problem(
            ProblemKind.STORE_AWAY,
            "the change may have taken effect; look for change id "
                + unsettled.changeId()
                + " in GET /admin/v1/changes before you repeat it",
            Outcome.UNKNOWN,
            RETRY_AFTER_MS));
  }

  private Object listChanges(Context context) throws JsonProcessingException {
    return HttpExchanges.sendJson(context, view.getChanges(context.query("after").longValue(0)));
  }

  private Object declareChange(Context context) throws Exception {
    PlannedChangeBody body;
    try {
      body = STRICT_MAPPER.readValue(context.body().bytes(), PlannedChangeBody.class);
    } catch (JsonProcessingException e) {
      return badRequest(context, "the body is not valid: " + e.getOriginalMessage());
    }
    if (body == null || body.kind() == null || body.id() == null || body.reason() == null) {
      return badRequest(context, "kind, id and reason must be given");
    }
    if (NODE_GONE.equals(body.kind())) {
      return declareNodeGone(context, body);
    }
    List<String> targetIds = view.getTargetIds(body.kind(), body.id());
    if (targetIds.isEmpty()) {
      return badRequest(
          context,
          "no target found for kind '"
              + body.kind()
              + "' and id '"
              + body.id()
              + "'; kinds are target, vm, place and node-gone");
    }
    Map<String, String> results = new LinkedHashMap<>();
    for (String targetId : targetIds) {
      ChangeResult result =
          change(context, new ConfigurationChange.SetTargetLeaving(targetId, body.reason()), 0);
      results.put(targetId, result.getClass().getSimpleName());
    }
    return HttpExchanges.sendJson(context, results);
  }

  /**
   * Handles an operator's declaration that the process at a peer address has ended and will not act
   * again.
   */
  private Object declareNodeGone(Context context, PlannedChangeBody body) throws Exception {
    Optional<Problem> refusal = view.declareNodeGone(body.id(), body.reason());
    if (refusal.isPresent()) {
      return Problems.send(context, refusal.get());
    }
    return HttpExchanges.sendJson(context, Map.of(body.id(), "RunEnded"));
  }

  private Object cancelChange(Context context) throws Exception {
    String targetId = HttpExchanges.getPath(context, "targetId");
    return submit(context, new ConfigurationChange.ClearTargetLeaving(targetId));
  }

  private Object clearCrashMarks(Context context) {
    String text = HttpExchanges.getPath(context, "fingerprint");
    try {
      view.clearCrashMarks(Long.parseUnsignedLong(text, 16));
      return context.send(StatusCode.NO_CONTENT);
    } catch (NumberFormatException e) {
      return badRequest(context, "'" + text + "' is not a fingerprint in hexadecimal");
    }
  }

  private Object getMetrics(Context context) {
    context.setResponseType(MediaType.valueOf("text/plain; version=0.0.4"));
    return context.send(metrics.scrape());
  }

  private Object getReady(Context context) {
    Optional<String> reason = view.getNotReadyReason();
    if (reason.isPresent()) {
      context.setResponseCode(StatusCode.SERVICE_UNAVAILABLE);
    }
    return context.send(reason.orElse("ready"));
  }

  private Route.Handler requireOperator(Route.Handler handler) {
    return context -> {
      if (!isOperator(context)) {
        return Problems.send(
            context, Problem.of(ProblemKind.UNAUTHENTICATED, "the operator key is not known"));
      }
      return handler.apply(context);
    };
  }

  private boolean isOperator(Context context) {
    String digest = digestOf(context);
    boolean isKnown = false;
    for (String known : operatorKeyDigests) {
      isKnown |= CallerKeys.isSame(known, digest);
    }
    return isKnown;
  }

  private static String digestOf(Context context) {
    String header = context.header("Authorization").value("");
    String key = header.startsWith(BEARER) ? header.substring(BEARER.length()).trim() : "";
    return CallerKeys.digestOf(key);
  }

  private static String authorOf(Context context) {
    return "operator-" + digestOf(context).substring(0, AUTHOR_CHARS);
  }

  private static String quote(long version) {
    return "\"" + version + "\"";
  }

  private static Object badRequest(Context context, String detail) {
    return Problems.send(context, Problem.of(ProblemKind.BAD_REQUEST, detail));
  }

  private static void onError(Context context, Throwable cause, StatusCode status) {
    Problems.sendError(context, cause, status);
  }
}
