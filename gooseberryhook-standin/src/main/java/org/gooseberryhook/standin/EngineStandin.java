package org.gooseberryhook.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Sender;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gooseberryhook.protocol.EngineErrors;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.TokenEvent;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.transport.ListenAddress;

/**
 * HTTP server that offers the engine interface for each target of an {@link EngineFleet}. A target
 * has the base URL {@code http://host:port/targets/{targetId}}.
 *
 * @since 0.1
 */
public final class EngineStandin {

  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final EngineFleet fleet;
  private final int port;
  private NettyServer server;
  private Jooby app;

  /**
   * Creates a server that is not started yet.
   *
   * @param fleet the engines
   * @param port port on the loopback address
   */
  public EngineStandin(EngineFleet fleet, int port) {
    this.fleet = fleet;
    this.port = port;
  }

  /**
   * Faults to inject into a target.
   *
   * @param isDead whether the target is dead
   * @param isLeaving whether the target reports that it is leaving and refuses new attempts
   * @param slowFactor factor on its step time; 0 keeps the current factor
   * @param hangMs time for which no chain on it makes progress, in milliseconds; 0 for none
   */
  public record Faults(boolean isDead, boolean isLeaving, double slowFactor, long hangMs) {}

  /**
   * Order to load layers of a model.
   *
   * @param fencingNumber fencing number of the lease under which the order is sent
   * @param modelId model to load
   * @param modelVersion version to load
   * @param firstLayer first layer to load
   * @param endLayer index after the last layer to load
   */
  public record LoadOrder(
      long fencingNumber, String modelId, String modelVersion, int firstLayer, int endLayer) {}

  /**
   * Starts listening.
   *
   * @throws IllegalStateException if the port is in use
   */
  public void start() {
    new ListenAddress("127.0.0.1", port).requireFree("the engine stand-in");
    app = new Jooby();
    app.setStartupSummary(List.of(StartupSummary.NONE));
    app.setExecutionMode(ExecutionMode.WORKER);
    app.post("/targets/{targetId}/v1/chains", this::startChain);
    app.delete("/targets/{targetId}/v1/chains/{requestId}/{attempt}", this::cancelChain);
    app.get("/targets/{targetId}/v1/state", this::getState);
    app.get("/targets/{targetId}/v1/cache-events", this::getCacheEvents);
    app.post("/targets/{targetId}/v1/orders", this::applyOrder);
    app.put("/targets/{targetId}/faults", this::setFaults);
    ServerOptions options = new ServerOptions();
    options.setHost("127.0.0.1");
    options.setPort(port);
    options.setMaxRequestSize(MAX_BODY_BYTES);
    server = new NettyServer();
    server.setOptions(options);
    server.start(app);
  }

  /** Stops listening and ends all attempts. */
  public void stop() {
    fleet.stop();
    if (server != null) {
      server.stop();
    }
  }

  private Object startChain(Context context) throws IOException {
    EngineStart start = Json.MAPPER.readValue(context.body().bytes(), EngineStart.class);
    SimulatedEngine engine = fleet.get(context.path("targetId").value()).orElse(null);
    if (engine == null || engine.isDead()) {
      return context.send(StatusCode.BAD_GATEWAY);
    }
    if (engine.getState().isLeaving()) {
      return context.send(StatusCode.SERVICE_UNAVAILABLE);
    }
    context.setResponseType(MediaType.valueOf("application/x-ndjson"));
    EventWriter writer = new EventWriter(context.responseSender());
    if (!fleet.start(start, writer::write, writer::close)) {
      writer.write(
          TokenEvent.ofError(start.requestId(), start.attempt(), EngineErrors.REFUSED, null));
      writer.close();
    }
    return context;
  }

  private Object cancelChain(Context context) {
    fleet.cancel(context.path("requestId").value(), context.path("attempt").intValue());
    return context.send(StatusCode.NO_CONTENT);
  }

  private Object getState(Context context) throws JsonProcessingException {
    SimulatedEngine engine = fleet.get(context.path("targetId").value()).orElse(null);
    if (engine == null || engine.isDead()) {
      return context.send(StatusCode.BAD_GATEWAY);
    }
    return sendJson(context, engine.getState());
  }

  private Object getCacheEvents(Context context) throws JsonProcessingException {
    SimulatedEngine engine = fleet.get(context.path("targetId").value()).orElse(null);
    if (engine == null || engine.isDead()) {
      return context.send(StatusCode.BAD_GATEWAY);
    }
    return sendJson(context, engine.getCacheEvents(context.query("after").longValue(0)));
  }

  private Object applyOrder(Context context) throws IOException {
    LoadOrder order = Json.MAPPER.readValue(context.body().bytes(), LoadOrder.class);
    SimulatedEngine engine = fleet.get(context.path("targetId").value()).orElse(null);
    if (engine == null || engine.isDead()) {
      return context.send(StatusCode.BAD_GATEWAY);
    }
    boolean isAccepted =
        engine.load(
            order.fencingNumber(),
            order.modelId(),
            order.modelVersion(),
            LayerRange.of(order.firstLayer(), order.endLayer()));
    return context.send(isAccepted ? StatusCode.NO_CONTENT : StatusCode.CONFLICT);
  }

  private Object setFaults(Context context) throws IOException {
    Faults faults = Json.MAPPER.readValue(context.body().bytes(), Faults.class);
    SimulatedEngine engine = fleet.get(context.path("targetId").value()).orElse(null);
    if (engine == null) {
      return context.send(StatusCode.NOT_FOUND);
    }
    if (faults.isDead() && !engine.isDead()) {
      fleet.kill(engine);
    } else if (!faults.isDead()) {
      engine.setDead(false);
    }
    engine.setLeaving(faults.isLeaving());
    if (faults.slowFactor() > 0) {
      engine.setSlowFactor(faults.slowFactor());
    }
    if (faults.hangMs() > 0) {
      fleet.hang(engine, faults.hangMs());
    }
    return context.send(StatusCode.NO_CONTENT);
  }

  private static Object sendJson(Context context, Object body) throws JsonProcessingException {
    context.setResponseType(MediaType.json);
    return context.send(Json.MAPPER.writeValueAsBytes(body));
  }

  /** Writes events to one response, one JSON object a line. */
  private static final class EventWriter {

    private final Sender sender;
    private final AtomicBoolean isBroken = new AtomicBoolean();

    EventWriter(Sender sender) {
      this.sender = sender;
    }

    boolean write(TokenEvent event) {
      if (isBroken.get()) {
        return false;
      }
      try {
        byte[] json = Json.MAPPER.writeValueAsBytes(event);
        byte[] line = Arrays.copyOf(json, json.length + 1);
        line[json.length] = '\n';
        sender.write(
            line,
            (context, failure) -> {
              if (failure != null) {
                isBroken.set(true);
              }
            });
        return true;
      } catch (JsonProcessingException e) {
        throw new IllegalStateException("token event cannot be written as JSON", e);
      }
    }

    void close() {
      try {
        sender.close();
      } catch (RuntimeException e) {
        isBroken.set(true);
      }
    }
  }
}
