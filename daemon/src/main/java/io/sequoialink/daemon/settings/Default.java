package io.sequoialink.daemon.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The value of a key that is not in the file, as it would stand there. Without it the key
 * is required.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
@interface Default {

	/**
	 * Returns the value.
	 * @return its text
	 */
	String value();

}
