package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Urgency;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.junit.jupiter.api.Test;

/** Tests the choice of a route and the check of the caller's key. */
class RequestRouterTest {

  static Route route(String name, String prefix, RequestKind kind, boolean isPublic) {
    return new Route(
        name,
        "h.example",
        prefix,
        kind,
        2_000,
        200,
        2,
        4,
        isPublic,
        false,
        false,
        0,
        List.of(new WeightedService("s", 1)));
  }

  private static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(
          3,
          List.of(
              route("short", "/a/", RequestKind.IDEMPOTENT, false),
              route("long", "/a/b/", RequestKind.IDEMPOTENT, false),
              route("open", "/open/", RequestKind.IDEMPOTENT, true)),
          Map.of(),
          RequestLimits.DEFAULT,
          Optional.of(List.of(new Workspace("w", Set.of("key"), OptionalInt.of(1)))));

  private static RoutingResult route(String path, String key) {
    return RequestRouter.route(
        Optional.of(CONFIGURATION), "H.example:80", path, Optional.ofNullable(key));
  }

  private static int status(RoutingResult result) {
    return ((RoutingResult.Rejected) result).problem().status();
  }

  @Test
  void theLongestPrefixWins() {
    RoutingResult.Routed routed = (RoutingResult.Routed) route("/a/b/c", "key");
    assertThat(routed.route().name()).isEqualTo("long");
  }

  @Test
  void aWorkspacesPriorityOverridesTheRoutes() {
    assertThat(((RoutingResult.Routed) route("/a/x", "key")).priority()).isEqualTo(1);
    assertThat(((RoutingResult.Routed) route("/open/x", null)).priority()).isEqualTo(4);
  }

  /**
   * Guards against urgent routes that are served like the others because the workspaces have
   * priorities of their own.
   */
  @Test
  void routesAreOrderedAmongWorkspacesOfOnePriority() {
    assertThat(Urgency.rank(1, 0)).isLessThan(Urgency.rank(1, 2));
    assertThat(Urgency.rank(0, 9)).isLessThan(Urgency.rank(1, 0));
    RoutingResult.Routed open = (RoutingResult.Routed) route("/open/x", null);
    RoutingResult.Routed keyed = (RoutingResult.Routed) route("/a/x", "key");
    assertThat(CONFIGURATION.ranks("s")).containsExactly(keyed.rank(), open.rank());
  }

  @Test
  void anUnknownPathGives404AndAnUnknownOrMissingKey401() {
    assertThat(status(route("/b/", "key"))).isEqualTo(404);
    assertThat(status(route("/a/x", "other"))).isEqualTo(401);
    assertThat(status(route("/a/x", null))).isEqualTo(401);
  }

  @Test
  void aNodeWithoutConfigurationRespondsThatTheRequestHasNotRun() {
    RoutingResult result =
        RequestRouter.route(Optional.empty(), "h.example", "/a/", Optional.empty());
    assertThat(status(result)).isEqualTo(503);
    assertThat(((RoutingResult.Rejected) result).problem().retryAfterMs()).isPositive();
  }

  @Test
  void weightsSplitRequestsBetweenServices() {
    Route split =
        new Route(
            "r",
            "h",
            "/",
            RequestKind.IDEMPOTENT,
            1,
            1,
            1,
            0,
            true,
            false,
            false,
            0,
            List.of(new WeightedService("x", 90), new WeightedService("y", 10)));
    assertThat(split.pickService(0.89)).isEqualTo("x");
    assertThat(split.pickService(0.91)).isEqualTo("y");
    assertThat(split.pickService(0.999999)).isEqualTo("y");
  }
}
