/** Configurations of a small deployment: a plain service with two routes, and a model. */
final class Config {
  private static final String MODEL_ROUTE =
      "{\"name\":\"draft\",\"host\":\"shop.example\",\"prefix\":\"/draft/\","
          + "\"kind\":\"streaming\",\"timeout-ms\":20000,\"target-latency-ms\":500,"
          + "\"priority\":1,\"service\":\"writer\",\"max-attempts\":2,\"public\":false,"
          + "\"sticky-sessions\":true,\"stream-resume\":true,\"gap-target-ms\":200}";

  private static final String MODEL =
      "{\"name\":\"writer\",\"health-check\":\"/healthz\",\"max-connections\":968,"
          + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":134,"
          + "\"kv-capacity-tokens\":69791,\"kv-token-bytes\":1315343,\"link-mbps\":400000.0,"
          + "\"stride\":3,\"models\":[{\"name\":\"m\",\"pace\":1.0,\"load-s\":14.0,\"warm-s\":1.0}],"
          + "\"step_ms\":1.02,\"per_seq_ms\":0.0102,\"context_per_k\":0.0137,"
          + "\"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,"
          + "\"loads_at_once\":5,\"usual\":{\"prompt\":774,\"answer\":204},\"layers\":80,"
          + "\"layer-mb\":1750.0,\"activation-bytes\":65767,\"pipe-mbps\":22000.0,"
          + "\"kinds\":[{\"name\":\"a100\",\"mb\":72000.0,\"pace\":2.4,\"read-factor\":3.2}]}}";

  private Config() {}

  static String of(long version, int timeoutMs) {
    return of(version, timeoutMs, false);
  }

  static String withModel(long version, int timeoutMs) {
    return of(version, timeoutMs, true);
  }

  private static String of(long version, int timeoutMs, boolean hasModel) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("stock", "/stock/", "idempotent", timeoutMs, 2) + ","
        + route("order", "/order/", "non_idempotent", timeoutMs, 1)
        + (hasModel ? "," + MODEL_ROUTE : "")
        + "],\"services\":[" + (hasModel ? MODEL + "," : "") + "{\"name\":\"desk\",\"health-check\":\"/healthz\","
        + "\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}";
  }

  private static String route(String name, String prefix, String kind, int timeoutMs, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMs
        + ",\"target-latency-ms\":121,\"priority\":2,\"service\":\"desk\",\"max-attempts\":"
        + attempts + ",\"public\":false,\"sticky-sessions\":false,\"stream-resume\":false}";
  }
}
