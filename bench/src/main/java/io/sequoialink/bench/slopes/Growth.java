package io.sequoialink.bench.slopes;

import java.util.Objects;

/**
 * What a duty costs at one value of something other than the number of hosts. Immutable
 * and thread-safe.
 *
 * @param name the duty
 * @param unit what grows, in the singular
 * @param value how much of it there was
 * @param cost what a host was measured to spend
 */
record Growth(String name, String unit, double value, Duty cost) {

	Growth {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(unit, "unit");
		Objects.requireNonNull(cost, "cost");
	}

}
