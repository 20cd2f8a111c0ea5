package org.gooseberryhook.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration that results from applying the configuration log up to a version. Instances are
 * immutable; a changed copy shares all unchanged records with the original.
 *
 * @since 0.1
 */
public final class Configuration {

  /** The configuration before any change. */
  public static final Configuration EMPTY =
      new Configuration(
          0, PersistentMap.of(), PersistentMap.of(), PersistentMap.of(), PersistentMap.of());

  private final long version;
  private final PersistentMap<Versioned<Contract>> contracts;
  private final PersistentMap<Versioned<ModelSpec>> models;
  private final PersistentMap<Versioned<ServiceSpec>> services;
  private final PersistentMap<Versioned<String>> leavingTargets;

  private Configuration(
      long version,
      PersistentMap<Versioned<Contract>> contracts,
      PersistentMap<Versioned<ModelSpec>> models,
      PersistentMap<Versioned<ServiceSpec>> services,
      PersistentMap<Versioned<String>> leavingTargets) {
    this.version = version;
    this.contracts = contracts;
    this.models = models;
    this.services = services;
    this.leavingTargets = leavingTargets;
  }

  /**
   * Builds a configuration from the records of {@link #toRecords()}.
   *
   * @param version log version that the records reflect
   * @param records the records, each as the change that creates it, with the log version that last
   *     changed it
   * @return the configuration, never null
   */
  public static Configuration ofRecords(
      long version, Iterable<Versioned<ConfigurationChange>> records) {
    Configuration built = EMPTY;
    for (Versioned<ConfigurationChange> entry : records) {
      built = built.with(entry.version(), entry.value());
    }
    return built.withVersion(version);
  }

  /**
   * Returns the configuration after a change.
   *
   * @param changeVersion log version of the change, which becomes the version of the copy
   * @param change the change
   * @return the changed copy, never null
   */
  public Configuration with(long changeVersion, ConfigurationChange change) {
    PersistentMap<Versioned<Contract>> newContracts = contracts;
    PersistentMap<Versioned<ModelSpec>> newModels = models;
    PersistentMap<Versioned<ServiceSpec>> newServices = services;
    PersistentMap<Versioned<String>> newLeaving = leavingTargets;
    if (change instanceof ConfigurationChange.PutContract put) {
      newContracts =
          contracts.with(
              put.contract().workspaceId(), new Versioned<>(changeVersion, put.contract()));
    } else if (change instanceof ConfigurationChange.RemoveContract remove) {
      newContracts = contracts.without(remove.workspaceId());
    } else if (change instanceof ConfigurationChange.PutModel put) {
      newModels = models.with(put.model().modelId(), new Versioned<>(changeVersion, put.model()));
    } else if (change instanceof ConfigurationChange.RemoveModel remove) {
      newModels = models.without(remove.modelId());
    } else if (change instanceof ConfigurationChange.PutService put) {
      newServices =
          services.with(put.service().serviceName(), new Versioned<>(changeVersion, put.service()));
    } else if (change instanceof ConfigurationChange.RemoveService remove) {
      newServices = services.without(remove.serviceName());
    } else if (change instanceof ConfigurationChange.SetTargetLeaving set) {
      newLeaving =
          leavingTargets.with(set.targetId(), new Versioned<>(changeVersion, set.reason()));
    } else if (change instanceof ConfigurationChange.ClearTargetLeaving clear) {
      newLeaving = leavingTargets.without(clear.targetId());
    }
    return new Configuration(changeVersion, newContracts, newModels, newServices, newLeaving);
  }

  /**
   * Returns all records as changes from which {@link #ofRecords} rebuilds this configuration.
   *
   * @return the records, each with the log version that last changed it
   */
  public List<Versioned<ConfigurationChange>> toRecords() {
    List<Versioned<ConfigurationChange>> records = new ArrayList<>(contracts.size());
    models.values().forEach(m -> records.add(of(m, new ConfigurationChange.PutModel(m.value()))));
    services
        .values()
        .forEach(s -> records.add(of(s, new ConfigurationChange.PutService(s.value()))));
    leavingTargets.forEach(
        (targetId, reason) ->
            records.add(
                of(reason, new ConfigurationChange.SetTargetLeaving(targetId, reason.value()))));
    contracts
        .values()
        .forEach(c -> records.add(of(c, new ConfigurationChange.PutContract(c.value()))));
    return records;
  }

  /**
   * Returns the version of the last log entry applied.
   *
   * @return the version; 0 before the first entry
   */
  public long version() {
    return version;
  }

  /**
   * Returns the contracts by workspace id.
   *
   * @return an immutable map, never null
   */
  public Map<String, Versioned<Contract>> contracts() {
    return contracts;
  }

  /**
   * Returns the declared models by model id.
   *
   * @return an immutable map, never null
   */
  public Map<String, Versioned<ModelSpec>> models() {
    return models;
  }

  /**
   * Returns the declared plain services by name.
   *
   * @return an immutable map, never null
   */
  public Map<String, Versioned<ServiceSpec>> services() {
    return services;
  }

  /**
   * Returns the targets that are declared as leaving: by target id the reason, with the log version
   * that set it.
   *
   * @return an immutable map, never null
   */
  public Map<String, Versioned<String>> leavingTargets() {
    return leavingTargets;
  }

  /**
   * Returns the contract of a workspace.
   *
   * @param workspaceId id of the workspace; null gives empty
   * @return the contract, or empty if there is none
   */
  public Optional<Contract> getContract(String workspaceId) {
    return Optional.ofNullable(contracts.get(workspaceId)).map(Versioned::value);
  }

  /**
   * Returns a declared model.
   *
   * @param modelId id of the model; null gives empty
   * @return the model, or empty if it is not declared
   */
  public Optional<ModelSpec> getModel(String modelId) {
    return Optional.ofNullable(models.get(modelId)).map(Versioned::value);
  }

  /**
   * Returns a declared plain service.
   *
   * @param serviceName name of the service; null gives empty
   * @return the service, or empty if it is not declared
   */
  public Optional<ServiceSpec> getService(String serviceName) {
    return Optional.ofNullable(services.get(serviceName)).map(Versioned::value);
  }

  private Configuration withVersion(long newVersion) {
    return new Configuration(newVersion, contracts, models, services, leavingTargets);
  }

  private static Versioned<ConfigurationChange> of(Versioned<?> from, ConfigurationChange change) {
    return new Versioned<>(from.version(), change);
  }
}
