package io.sequoialink.standin;

/**
 * Random numbers that depend on a seed and a name alone, not on the order of the draws.
 * Stateless and thread-safe.
 */
public final class Draws {

	private static final long GOLDEN = 0x9e3779b97f4a7c15L;

	private static final double UNIT = 0x1.0p-53;

	private Draws() {
	}

	/**
	 * Returns 64 well mixed bits.
	 * @param seed the seed
	 * @param names what the bits are for
	 * @return the same bits for the same arguments
	 */
	public static long bits(long seed, Object... names) {
		long state = seed;
		for (Object name : names) {
			for (char c : name.toString().toCharArray()) {
				state = mix(state + GOLDEN + c);
			}
			state = mix(state ^ GOLDEN);
		}
		return state;
	}

	/**
	 * Returns a number drawn evenly from [0, 1).
	 * @param seed the seed
	 * @param names what the number is for
	 * @return the same number for the same arguments
	 */
	public static double unit(long seed, Object... names) {
		return (bits(seed, names) >>> 11) * UNIT;
	}

	/**
	 * Returns a number drawn from the normal distribution of mean 0 and deviation 1.
	 * @param seed the seed
	 * @param names what the number is for
	 * @return the same number for the same arguments
	 */
	public static double gaussian(long seed, Object... names) {
		long first = bits(seed, names);
		double radius = Math.sqrt(-2 * Math.log(1 - (first >>> 11) * UNIT));
		return radius * Math.cos(2 * Math.PI * (mix(first ^ GOLDEN) >>> 11) * UNIT);
	}

	private static long mix(long value) {
		long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
		return z ^ (z >>> 31);
	}

}
