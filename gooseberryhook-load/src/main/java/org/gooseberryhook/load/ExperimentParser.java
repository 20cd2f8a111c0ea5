package org.gooseberryhook.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import okhttp3.HttpUrl;
import org.gooseberryhook.load.Experiment.Flow;
import org.gooseberryhook.state.PriorityClass;

/**
 * Parses experiments from TOML and reports all errors of a file at once.
 *
 * @since 0.1
 */
public final class ExperimentParser {

  private static final long MAX_DURATION_MS = 24L * 3_600_000;
  private static final int MAX_THREADS = 8_192;
  private static final int MAX_PROMPT_CHARS = 1_000_000;
  private static final int MAX_REQUESTED_TOKENS = 32_768;
  private static final TomlMapper TOML = new TomlMapper();

  private final List<String> errors = new ArrayList<>();

  private ExperimentParser() {}

  /** Result of parsing a file. */
  public sealed interface Result permits Valid, Invalid {}

  /**
   * A file without errors.
   *
   * @param experiment the experiment
   */
  public record Valid(Experiment experiment) implements Result {}

  /**
   * A file with errors.
   *
   * @param errors every error with its key and the remedy, not empty
   */
  public record Invalid(List<String> errors) implements Result {}

  /**
   * Parses an experiment.
   *
   * @param toml text of the file
   * @return the experiment or all errors, never null
   */
  public static Result parse(String toml) {
    return new ExperimentParser().read(toml);
  }

  private Result read(String toml) {
    JsonNode root;
    try {
      root = TOML.readTree(toml);
    } catch (JsonProcessingException e) {
      return new Invalid(List.of("the file is not valid TOML: " + e.getMessage()));
    }
    TomlSection file = new TomlSection(root, "", errors);
    Experiment experiment = readExperiment(file);
    file.reportUnknownKeys();
    checkConsistency(experiment);
    return errors.isEmpty() ? new Valid(experiment) : new Invalid(List.copyOf(errors));
  }

  private Experiment readExperiment(TomlSection file) {
    return new Experiment(
        file.string("name"),
        file.integer("seed", null, Long.MIN_VALUE, Long.MAX_VALUE),
        file.integer("duration_ms", null, 1, MAX_DURATION_MS),
        file.integer("warm_up_ms", 0L, 0, MAX_DURATION_MS),
        file.choice("arrivals", Experiment.ArrivalProcess.class, Experiment.ArrivalProcess.POISSON),
        readWorkspaces(file),
        file.has("model") ? readModel(file.section("model")) : null,
        readMix(file),
        readCaller(file.section("caller")),
        readFaults(file),
        url(file, "effects_url", ""),
        readVariants(file),
        file.integer("block_ms", 2_000L, 100, MAX_DURATION_MS));
  }

  private List<Experiment.Workspace> readWorkspaces(TomlSection file) {
    double totalRate = file.number("requests_per_second", 0.0, 0);
    List<Experiment.Workspace> workspaces = new ArrayList<>();
    for (TomlSection section : file.sections("workspaces")) {
      workspaces.add(
          new Experiment.Workspace(
              section.string("name"),
              section.string("key"),
              readRate(section, totalRate),
              section.choice("class", PriorityClass.class, PriorityClass.INTERACTIVE),
              section.number("bound_requests_per_second", 0.0, 0),
              section.number("bound_tokens_per_second", 0.0, 0)));
      section.reportUnknownKeys();
    }
    return workspaces;
  }

  private static double readRate(TomlSection section, double totalRate) {
    boolean hasShare = section.has("share");
    boolean hasRate = section.has("rate");
    if (hasShare == hasRate) {
      section.addError("rate", "and 'share' exclude each other; give exactly one of them");
      return 1;
    }
    if (hasRate) {
      return section.number("rate", null, 0.001);
    }
    if (totalRate <= 0) {
      section.addError("share", "needs 'requests_per_second' above 0 at the top of the file");
    }
    return section.number("share", null, 0.000_001) * totalRate;
  }

  private static Experiment.Model readModel(TomlSection section) {
    Experiment.Model model =
        new Experiment.Model(
            section.string("id"),
            section.string("version"),
            (int) section.integer("layers", null, 1, 10_000));
    section.reportUnknownKeys();
    return model;
  }

  private List<Experiment.RequestShape> readMix(TomlSection file) {
    List<Experiment.RequestShape> mix = new ArrayList<>();
    for (TomlSection section : file.sections("mix")) {
      Flow flow = section.choice("kind", Flow.class, null);
      if (flow == null) {
        section.addError("kind", "determines the other keys; use model, service or once");
        continue;
      }
      mix.add(flow == Flow.MODEL ? readModelShape(section) : readServiceShape(section, flow));
      section.reportUnknownKeys();
    }
    return mix;
  }

  private static Experiment.ModelShape readModelShape(TomlSection section) {
    Experiment.ModelShape shape =
        new Experiment.ModelShape(
            section.number("weight", 1.0, 0.000_001),
            section.flag("stream", true),
            (int) section.integer("prompt_chars", null, 1, MAX_PROMPT_CHARS),
            (int) section.integer("prefixes", 0L, 0, 100_000),
            (int) section.integer("prefix_chars", 0L, 0, MAX_PROMPT_CHARS),
            (int) section.integer("answer_tokens", null, 1, MAX_REQUESTED_TOKENS));
    if (shape.prefixChars() >= shape.promptChars() && shape.prefixCount() > 0) {
      section.addError(
          "prefix_chars",
          "must be below prompt_chars; otherwise all prompts with one prefix are equal");
    }
    return shape;
  }

  private static Experiment.ServiceShape readServiceShape(TomlSection section, Flow flow) {
    return new Experiment.ServiceShape(
        section.number("weight", 1.0, 0.000_001),
        section.string("service"),
        section.string("operation"),
        flow == Flow.ONCE,
        section.string("body", "{}"));
  }

  private static Experiment.Caller readCaller(TomlSection section) {
    Experiment.Caller caller =
        new Experiment.Caller(
            (int) section.integer("max_repeats", 3L, 0, 100),
            (int) section.integer("max_failovers", 8L, 0, 100),
            section.integer("timeout_ms", 30_000L, 1, 3_600_000),
            section.integer("stall_timeout_ms", 5_000L, 10, 3_600_000),
            (int) section.integer("threads", 1_024L, 1, MAX_THREADS),
            (int) section.integer("clients_per_workspace", 4L, 1, 1_000));
    section.reportUnknownKeys();
    return caller;
  }

  private List<Experiment.Fault> readFaults(TomlSection file) {
    List<Experiment.Fault> all = new ArrayList<>();
    for (TomlSection section : file.sections("faults")) {
      if (section.has("action") == section.has("url")) {
        section.addError("action", "and 'url' exclude each other; give exactly one of them");
      }
      all.add(
          new Experiment.Fault(
              section.string("name"),
              section.integer("at_ms", null, 0, MAX_DURATION_MS),
              section.string("action", ""),
              section.string("method", "POST"),
              url(section, "url", ""),
              section.string("body", "")));
      section.reportUnknownKeys();
    }
    return all;
  }

  private List<Variant> readVariants(TomlSection file) {
    List<Variant> variants = new ArrayList<>();
    for (TomlSection section : file.sections("variants")) {
      String name = section.string("name");
      List<String> addresses = section.strings("addresses");
      section.reportUnknownKeys();
      if (!addresses.isEmpty()) {
        variants.add(new Variant(name, addresses));
      }
    }
    return variants;
  }

  private static String url(TomlSection section, String key, String defaultValue) {
    String url = section.string(key, defaultValue);
    if (!url.isEmpty() && HttpUrl.parse(url) == null) {
      section.addError(key, "is '" + url + "'; use a URL such as http://127.0.0.1:9100/effects");
    }
    return url;
  }

  private void checkConsistency(Experiment experiment) {
    if (experiment.warmUpMs() >= experiment.durationMs()) {
      errors.add("warm_up_ms must be below duration_ms; otherwise nothing is measured");
    }
    if (experiment.workspaces().isEmpty()) {
      errors.add("workspaces is empty; add at least one table [[workspaces]]");
    }
    if (experiment.mix().isEmpty()) {
      errors.add("mix is empty; add at least one table [[mix]]");
    }
    if (experiment.variants().size() > 2) {
      errors.add("variants has more than two entries; name one deployment, or two to compare");
    }
    boolean hasModelCalls = experiment.mix().stream().anyMatch(s -> s.flow() == Flow.MODEL);
    if (hasModelCalls && experiment.model() == null) {
      errors.add("model is missing; model calls in the mix need a table [model]");
    }
    Set<String> names = new HashSet<>();
    for (Experiment.Workspace workspace : experiment.workspaces()) {
      if (!names.add(workspace.name())) {
        errors.add("workspaces has the name '" + workspace.name() + "' twice; use each name once");
      }
    }
    for (Experiment.Fault fault : experiment.faults()) {
      if (fault.atMs() >= experiment.durationMs()) {
        errors.add(
            "fault '"
                + fault.name()
                + "' is due after the end of the run; set at_ms below duration_ms");
      }
    }
  }
}
