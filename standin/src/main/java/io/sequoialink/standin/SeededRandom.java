package io.sequoialink.standin;

/**
 * Pseudorandom numbers computed from a seed and a list of names by hashing. The order of
 * calls and the threads have no influence on them, so simulations can be repeated.
 * Stateless and thread-safe.
 */
public final class SeededRandom {

	private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

	private static final double TWO_TO_MINUS_53 = 0x1.0p-53;

	private SeededRandom() {
	}

	/**
	 * Returns 64 pseudorandom bits.
	 * @param seed the seed
	 * @param names the names that identify this number, hashed by their string form
	 * @return the same bits for the same arguments
	 */
	public static long bits(long seed, Object... names) {
		long state = seed;
		for (Object name : names) {
			for (char c : name.toString().toCharArray()) {
				state = mix(state + GOLDEN_GAMMA + c);
			}
			state = mix(state ^ GOLDEN_GAMMA);
		}
		return state;
	}

	/**
	 * Returns a number that is uniformly distributed in [0, 1).
	 * @param seed the seed
	 * @param names the names that identify this number, hashed by their string form
	 * @return the same number for the same arguments
	 */
	public static double uniform(long seed, Object... names) {
		return (bits(seed, names) >>> 11) * TWO_TO_MINUS_53;
	}

	/**
	 * Returns a number with normal distribution, mean 0 and standard deviation 1
	 * (Box-Muller transform).
	 * @param seed the seed
	 * @param names the names that identify this number, hashed by their string form
	 * @return the same number for the same arguments
	 */
	public static double gaussian(long seed, Object... names) {
		long first = bits(seed, names);
		double radius = Math.sqrt(-2 * Math.log(1 - (first >>> 11) * TWO_TO_MINUS_53));
		return radius * Math.cos(2 * Math.PI * (mix(first ^ GOLDEN_GAMMA) >>> 11) * TWO_TO_MINUS_53);
	}

	private static long mix(long value) {
		long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
		return z ^ (z >>> 31);
	}

}
