package io.sequoialink.daemon.settings;

import java.time.Duration;

import jakarta.validation.ConstraintValidator;
import jakarta.validation.ConstraintValidatorContext;

/**
 * The validators of {@link Within}. Stateless.
 */
public final class WithinValidators {

	private WithinValidators() {
	}

	private static <T extends Comparable<T>> boolean within(T value, T min, T max) {
		return value == null || (value.compareTo(min) >= 0 && value.compareTo(max) <= 0);
	}

	/** Checks whole numbers. Immutable once initialized. */
	public static final class OfInteger implements ConstraintValidator<Within, Integer> {

		private Within range;

		@Override
		public void initialize(Within annotation) {
			this.range = annotation;
		}

		@Override
		public boolean isValid(Integer value, ConstraintValidatorContext context) {
			return within(value, Integer.valueOf(this.range.min()), Integer.valueOf(this.range.max()));
		}

	}

	/** Checks durations. Immutable once initialized. */
	public static final class OfDuration implements ConstraintValidator<Within, Duration> {

		private Within range;

		@Override
		public void initialize(Within annotation) {
			this.range = annotation;
		}

		@Override
		public boolean isValid(Duration value, ConstraintValidatorContext context) {
			return within(value, Durations.parse(this.range.min()), Durations.parse(this.range.max()));
		}

	}

	/** Checks sizes. Immutable once initialized. */
	public static final class OfByteSize implements ConstraintValidator<Within, ByteSize> {

		private Within range;

		@Override
		public void initialize(Within annotation) {
			this.range = annotation;
		}

		@Override
		public boolean isValid(ByteSize value, ConstraintValidatorContext context) {
			return value == null || within(value.bytes(), ByteSize.parse(this.range.min()).bytes(),
					ByteSize.parse(this.range.max()).bytes());
		}

	}

}
