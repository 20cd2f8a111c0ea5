package org.gooseberryhook.state;

import java.util.Map;
import java.util.Optional;

/**
 * The configuration in force at a version of the configuration log.
 *
 * @param version number of log entries applied; 0 before the first
 * @param contracts contracts by workspace
 * @param models models by id
 * @param services plain services by name
 * @param leavingTargets reasons by target id for targets that are declared as leaving
 * @since 0.1
 */
public record Configuration(
    long version,
    Map<String, Versioned<Contract>> contracts,
    Map<String, Versioned<ModelSpec>> models,
    Map<String, Versioned<ServiceSpec>> services,
    Map<String, String> leavingTargets) {

  /** The configuration before any change. */
  public static final Configuration EMPTY =
      new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of());

  /**
   * Returns the contract of a workspace.
   *
   * @param workspaceId the workspace; null gives empty
   * @return the contract, or empty if there is none
   */
  public Optional<Contract> getContract(String workspaceId) {
    return workspaceId == null
        ? Optional.empty()
        : Optional.ofNullable(contracts.get(workspaceId)).map(Versioned::value);
  }

  /**
   * Returns a model.
   *
   * @param modelId the model; null gives empty
   * @return the model, or empty if it is not declared
   */
  public Optional<ModelSpec> getModel(String modelId) {
    return modelId == null
        ? Optional.empty()
        : Optional.ofNullable(models.get(modelId)).map(Versioned::value);
  }

  /**
   * Returns a plain service.
   *
   * @param serviceName the service; null gives empty
   * @return the service, or empty if it is not declared
   */
  public Optional<ServiceSpec> getService(String serviceName) {
    return serviceName == null
        ? Optional.empty()
        : Optional.ofNullable(services.get(serviceName)).map(Versioned::value);
  }
}
