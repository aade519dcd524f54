package io.sequoialink.daemon.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

import jakarta.validation.Constraint;
import jakarta.validation.Payload;

/**
 * The least and the greatest accepted value of a number, a duration or a size, as they
 * would stand in the file.
 */
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
@Constraint(validatedBy = { WithinValidators.OfInteger.class, WithinValidators.OfDuration.class,
		WithinValidators.OfByteSize.class })
@interface Within {

	/**
	 * Returns the least accepted value.
	 * @return its text
	 */
	String min();

	/**
	 * Returns the greatest accepted value.
	 * @return its text
	 */
	String max();

	/**
	 * Returns what is accepted.
	 * @return the message's template
	 */
	String message() default "{min} to {max}";

	/**
	 * Returns the validation groups.
	 * @return none
	 */
	Class<?>[] groups() default {};

	/**
	 * Returns the payload.
	 * @return none
	 */
	Class<? extends Payload>[] payload() default {};

}
