package org.gooseberryhook.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;

/**
 * Change of the configuration. A change creates, replaces or removes exactly one record.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationChange.PutContract.class, name = "PutContract"),
  @JsonSubTypes.Type(value = ConfigurationChange.RemoveContract.class, name = "RemoveContract"),
  @JsonSubTypes.Type(value = ConfigurationChange.PutModel.class, name = "PutModel"),
  @JsonSubTypes.Type(value = ConfigurationChange.RemoveModel.class, name = "RemoveModel"),
  @JsonSubTypes.Type(value = ConfigurationChange.PutService.class, name = "PutService"),
  @JsonSubTypes.Type(value = ConfigurationChange.RemoveService.class, name = "RemoveService"),
  @JsonSubTypes.Type(value = ConfigurationChange.SetTargetLeaving.class, name = "SetTargetLeaving"),
  @JsonSubTypes.Type(
      value = ConfigurationChange.ClearTargetLeaving.class,
      name = "ClearTargetLeaving")
})
public sealed interface ConfigurationChange {

  /**
   * Returns the key of the changed record within the configuration.
   *
   * @return the key, for example {@code contract/omaruru}, never null
   */
  String recordKey();

  /**
   * Returns whether the change removes the record.
   *
   * @return true for removals
   */
  default boolean removesRecord() {
    return this instanceof RemoveContract
        || this instanceof RemoveModel
        || this instanceof RemoveService
        || this instanceof ClearTargetLeaving;
  }

  /**
   * Adds or replaces a contract.
   *
   * @param contract the contract
   * @since 0.1
   */
  record PutContract(Contract contract) implements ConfigurationChange {
    /** Creates the change; the contract must not be null. */
    public PutContract {
      Objects.requireNonNull(contract, "contract");
    }

    @Override
    public String recordKey() {
      return "contract/" + contract.workspaceId();
    }
  }

  /**
   * Removes a contract.
   *
   * @param workspaceId id of the workspace
   * @since 0.1
   */
  record RemoveContract(String workspaceId) implements ConfigurationChange {
    /** Creates the change; the workspace must not be null. */
    public RemoveContract {
      Objects.requireNonNull(workspaceId, "workspaceId");
    }

    @Override
    public String recordKey() {
      return "contract/" + workspaceId;
    }
  }

  /**
   * Adds or replaces a model.
   *
   * @param model the model
   * @since 0.1
   */
  record PutModel(ModelSpec model) implements ConfigurationChange {
    /** Creates the change; the model must not be null. */
    public PutModel {
      Objects.requireNonNull(model, "model");
    }

    @Override
    public String recordKey() {
      return "model/" + model.modelId();
    }
  }

  /**
   * Removes a model.
   *
   * @param modelId id of the model
   * @since 0.1
   */
  record RemoveModel(String modelId) implements ConfigurationChange {
    /** Creates the change; the model must not be null. */
    public RemoveModel {
      Objects.requireNonNull(modelId, "modelId");
    }

    @Override
    public String recordKey() {
      return "model/" + modelId;
    }
  }

  /**
   * Adds or replaces a plain service.
   *
   * @param service the service
   * @since 0.1
   */
  record PutService(ServiceSpec service) implements ConfigurationChange {
    /** Creates the change; the service must not be null. */
    public PutService {
      Objects.requireNonNull(service, "service");
    }

    @Override
    public String recordKey() {
      return "service/" + service.serviceName();
    }
  }

  /**
   * Removes a plain service.
   *
   * @param serviceName name of the service
   * @since 0.1
   */
  record RemoveService(String serviceName) implements ConfigurationChange {
    /** Creates the change; the service must not be null. */
    public RemoveService {
      Objects.requireNonNull(serviceName, "serviceName");
    }

    @Override
    public String recordKey() {
      return "service/" + serviceName;
    }
  }

  /**
   * Declares that a target is leaving, so that it receives no new work.
   *
   * @param targetId id of the target
   * @param reason why the target is leaving, for operators
   * @since 0.1
   */
  record SetTargetLeaving(String targetId, String reason) implements ConfigurationChange {
    /** Creates the change; the target and the reason must not be null. */
    public SetTargetLeaving {
      Objects.requireNonNull(targetId, "targetId");
      Objects.requireNonNull(reason, "reason");
    }

    @Override
    public String recordKey() {
      return "leaving/" + targetId;
    }
  }

  /**
   * Withdraws the declaration that a target is leaving.
   *
   * @param targetId id of the target
   * @since 0.1
   */
  record ClearTargetLeaving(String targetId) implements ConfigurationChange {
    /** Creates the change; the target must not be null. */
    public ClearTargetLeaving {
      Objects.requireNonNull(targetId, "targetId");
    }

    @Override
    public String recordKey() {
      return "leaving/" + targetId;
    }
  }
}
