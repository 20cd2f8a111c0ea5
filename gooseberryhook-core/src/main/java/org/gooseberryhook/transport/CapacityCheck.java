package org.gooseberryhook.transport;

import java.util.List;
import java.util.Optional;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.Versioned;

/**
 * Refuses a contract that raises its token rate above what the pipelines of a model can carry
 * together with the other contracts.
 *
 * <p>A contract's tokens are prompt and output tokens, so a pipeline is credited with the faster of
 * the two rates: a contract is refused only if no mix of them would fit.
 *
 * @since 0.1
 */
final class CapacityCheck {

  private static final double NANOS_PER_SECOND = 1e9;

  private final PipelineTable pipelines;
  private final PipelineHealth health;

  CapacityCheck(PipelineTable pipelines, PipelineHealth health) {
    this.pipelines = pipelines;
    this.health = health;
  }

  /**
   * Checks a contract.
   *
   * @param contract the contract to be put in force
   * @param configuration the configuration in force
   * @return the refusal with the figures; empty if the contract fits, does not raise its token
   *     rate, or the pipelines have not been observed yet
   */
  Optional<Problem> check(Contract contract, Configuration configuration) {
    Optional<Contract> previous = configuration.getContract(contract.workspaceId());
    for (String modelId : contract.models()) {
      boolean isRaised =
          previous
              .filter(old -> old.models().contains(modelId))
              .map(old -> contract.tokensPerSecond() > old.tokensPerSecond())
              .orElse(true);
      Optional<ModelSpec> model = configuration.getModel(modelId);
      double capacity = isRaised ? model.map(this::tokensPerSecond).orElse(0.0) : 0;
      double committed =
          contract.tokensPerSecond() + committedToOthers(contract, modelId, configuration);
      if (capacity > 0 && committed > capacity) {
        return Optional.of(
            Problem.of(
                ProblemKind.EXCEEDS_CAPACITY,
                String.format(
                    "with this contract %.0f tokens/s of model %s are promised, but its %d"
                        + " pipelines carry about %.0f tokens/s",
                    committed, modelId, entries(model.get()).size(), capacity)));
      }
    }
    return Optional.empty();
  }

  private static double committedToOthers(
      Contract contract, String modelId, Configuration configuration) {
    return configuration.contracts().values().stream()
        .map(Versioned::value)
        .filter(other -> !other.workspaceId().equals(contract.workspaceId()))
        .filter(other -> other.models().contains(modelId))
        .mapToDouble(Contract::tokensPerSecond)
        .sum();
  }

  /**
   * Returns the tokens per second of all pipelines together; 0 if no pipeline has a step time
   * observed for all its stages.
   */
  private double tokensPerSecond(ModelSpec model) {
    List<PipelineEntry> entries = entries(model);
    boolean isObserved =
        entries.stream()
            .anyMatch(entry -> entry.stages().stream().allMatch(stage -> stage.stepSamples() > 0));
    return isObserved ? entries.stream().mapToDouble(this::tokensPerSecond).sum() : 0;
  }

  private double tokensPerSecond(PipelineEntry entry) {
    double outputRate = entry.slots() * NANOS_PER_SECOND / health.stepNanos(entry, entry.slots());
    double promptRate = NANOS_PER_SECOND / health.promptNanosPerToken(entry);
    return Math.max(outputRate, promptRate);
  }

  private List<PipelineEntry> entries(ModelSpec model) {
    return pipelines.entries(model.modelId(), model.modelVersion());
  }
}
