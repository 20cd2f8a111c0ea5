package org.gooseberryhook.transport;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.PlacementPlan;
import org.gooseberryhook.state.Versioned;

/**
 * Serves the plan of a model and its reasons to operators. {@code GET /admin/v1/placement/{model}}
 * returns the stored plan; with {@code ?preview=true} it returns the next plan, which is not
 * stored.
 *
 * @since 0.1
 */
final class PlacementApi {

  private final PlacementService placement;

  PlacementApi(PlacementService placement) {
    this.placement = placement;
  }

  /** Adds the route, whose handler is wrapped in the operator check of the administration API. */
  void addTo(Jooby app, UnaryOperator<Route.Handler> guard) {
    app.get("/admin/v1/placement/{model}", guard.apply(this::get));
  }

  private Object get(Context context) throws IOException {
    String modelId = context.path("model").value();
    boolean isPreview = context.query("preview").booleanValue(false);
    Optional<Versioned<PlacementPlan>> stored = placement.getPlan(modelId);
    Optional<PlacementPlan> plan =
        isPreview ? placement.preview(modelId) : stored.map(Versioned::value);
    if (plan.isEmpty()) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.NOT_FOUND,
              isPreview
                  ? "model " + modelId + " is not set"
                  : "model " + modelId + " has no plan"));
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("modelId", modelId);
    body.put("preview", isPreview);
    body.put("storedVersion", stored.map(Versioned::version).orElse(0L));
    body.put("replicas", plan.get().replicas());
    body.put("reasons", plan.get().reasons());
    context.setResponseType(MediaType.json);
    return context.send(Json.MAPPER.writeValueAsBytes(body));
  }
}
