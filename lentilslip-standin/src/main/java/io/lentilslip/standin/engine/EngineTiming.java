package io.lentilslip.standin.engine;

/**
 * How long an engine's work takes. Immutable and safe for use by several threads.
 *
 * @param prefillTokensPerSecond the prompt tokens computed in a second
 * @param decodeNanos the time of a decode step without its requests
 * @param decodeNanosPerRequest the time that each request adds to a decode step
 * @param transferTokensPerSecond the tokens exported or imported in a second
 * @param scale the real time for a unit of the engine's time; 0 is as fast as possible
 */
public record EngineTiming(long prefillTokensPerSecond, long decodeNanos, long decodeNanosPerRequest,
		long transferTokensPerSecond, double scale) {

	private static final long SECOND = 1_000_000_000L;

	/**
	 * Creates a timing.
	 * @param prefillTokensPerSecond the prompt tokens computed in a second
	 * @param decodeNanos the time of a decode step without its requests
	 * @param decodeNanosPerRequest the time that each request adds to a decode step
	 * @param transferTokensPerSecond the tokens exported or imported in a second
	 * @param scale the real time for a unit of the engine's time
	 * @throws IllegalArgumentException if a rate is not above zero or a time is below it
	 */
	public EngineTiming {
		if (prefillTokensPerSecond < 1 || transferTokensPerSecond < 1) {
			throw new IllegalArgumentException("a rate must be above zero");
		}
		if (decodeNanos < 0 || decodeNanosPerRequest < 0 || !(scale >= 0) || Double.isInfinite(scale)) {
			throw new IllegalArgumentException("a time must be finite and not below zero");
		}
	}

	/**
	 * Returns a timing of which only the proportions count, for it takes no real time.
	 * @return a timing with scale 0
	 */
	public static EngineTiming asFastAsPossible() {
		return new EngineTiming(20_000, 8_000_000, 250_000, 200_000, 0);
	}

	/**
	 * Returns this timing with another scale.
	 * @param factor the real time for a unit of the engine's time
	 * @return the timing
	 */
	public EngineTiming withScale(double factor) {
		return new EngineTiming(this.prefillTokensPerSecond, this.decodeNanos, this.decodeNanosPerRequest,
				this.transferTokensPerSecond, factor);
	}

	/**
	 * Returns the time of one step in the engine's own time.
	 * @param prefilled the prompt tokens computed in it
	 * @param decoding the requests that decode in it
	 * @return the nanoseconds
	 */
	long stepNanos(int prefilled, int decoding) {
		long prefill = prefilled * SECOND / this.prefillTokensPerSecond;
		long decode = (decoding > 0) ? this.decodeNanos + this.decodeNanosPerRequest * decoding : 0;
		return prefill + decode;
	}

	/**
	 * Returns the time of a transfer in the engine's own time.
	 * @param tokens the tokens transferred
	 * @return the nanoseconds
	 */
	long transferNanos(int tokens) {
		return tokens * SECOND / this.transferTokensPerSecond;
	}

	/**
	 * Returns the real time for a time of the engine.
	 * @param engineNanos the engine's nanoseconds
	 * @return the real nanoseconds
	 */
	long realNanos(long engineNanos) {
		return (long) (engineNanos * this.scale);
	}

}
