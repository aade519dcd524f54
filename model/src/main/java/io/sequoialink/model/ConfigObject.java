package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A configuration object, which operators create, label and change by records of the
 * configuration stream, a part of the platform's log. Implementations are immutable and
 * thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = ClientAccount.class, name = "account"),
		@JsonSubTypes.Type(value = ModelVersion.class, name = "version"),
		@JsonSubTypes.Type(value = RequestClass.class, name = "class"),
		@JsonSubTypes.Type(value = Cascade.class, name = "cascade"),
		@JsonSubTypes.Type(value = Rollout.class, name = "rollout"),
		@JsonSubTypes.Type(value = PlainService.class, name = "service") })
public sealed interface ConfigObject permits ClientAccount, ModelVersion, RequestClass, Cascade, Rollout, PlainService {

	/**
	 * Returns the key that identifies the object.
	 * @return kind and name
	 */
	@JsonIgnore
	ObjectKey key();

	/**
	 * Returns the labels of the object, which selectors match.
	 * @return the labels
	 */
	Labels labels();

}
