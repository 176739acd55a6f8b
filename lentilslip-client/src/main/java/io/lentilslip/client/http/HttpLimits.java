package io.lentilslip.client.http;

import java.time.Duration;
import java.util.Objects;

/**
 * The bounds within which requests are sent. Immutable and safe for use by several
 * threads.
 *
 * @param connectTimeout the longest time to connect
 * @param readTimeout the longest time without a byte arriving, or leaving
 * @param callTimeout the longest time from start to whole answer; zero for no bound
 * @param maximumCalls the most calls under way at once
 * @param maximumAnswerBytes the longest body of an answer
 */
public record HttpLimits(Duration connectTimeout, Duration readTimeout, Duration callTimeout, int maximumCalls,
		int maximumAnswerBytes) {

	private static final HttpLimits DEFAULTS = new HttpLimits(Duration.ofSeconds(1), Duration.ofSeconds(5),
			Duration.ofSeconds(10), 64, 8 * 1024 * 1024);

	/**
	 * Creates limits.
	 * @param connectTimeout the longest time to connect
	 * @param readTimeout the longest time without a byte arriving, or leaving
	 * @param callTimeout the longest time from start to whole answer; zero for no bound
	 * @param maximumCalls the most calls under way at once
	 * @param maximumAnswerBytes the longest body of an answer
	 * @throws IllegalArgumentException if a limit is negative, or one other than the call
	 * timeout is zero
	 */
	public HttpLimits {
		requirePositive(connectTimeout, "connectTimeout");
		requirePositive(readTimeout, "readTimeout");
		Objects.requireNonNull(callTimeout, "callTimeout");
		if (callTimeout.isNegative()) {
			throw new IllegalArgumentException("callTimeout is negative: " + callTimeout);
		}
		if (maximumCalls < 1 || maximumAnswerBytes < 1) {
			throw new IllegalArgumentException("maximumCalls and maximumAnswerBytes must be at least 1");
		}
	}

	/**
	 * Returns limits that suit short calls to a service nearby.
	 * @return 1 s to connect, 5 s without a byte, 10 s in all, 64 calls, 8 MiB
	 */
	public static HttpLimits defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns these limits with other timeouts.
	 * @param readTimeout the longest time without a byte arriving, or leaving
	 * @param callTimeout the longest time from start to whole answer; zero for no bound
	 * @return the changed limits
	 */
	public HttpLimits withTimeouts(Duration readTimeout, Duration callTimeout) {
		return new HttpLimits(this.connectTimeout, readTimeout, callTimeout, this.maximumCalls,
				this.maximumAnswerBytes);
	}

	/**
	 * Returns these limits with another bound on calls under way.
	 * @param maximumCalls the most calls under way at once
	 * @return the changed limits
	 */
	public HttpLimits withMaximumCalls(int maximumCalls) {
		return new HttpLimits(this.connectTimeout, this.readTimeout, this.callTimeout, maximumCalls,
				this.maximumAnswerBytes);
	}

	/**
	 * Returns these limits with another bound on the length of answers.
	 * @param maximumAnswerBytes the longest body of an answer
	 * @return the changed limits
	 */
	public HttpLimits withMaximumAnswerBytes(int maximumAnswerBytes) {
		return new HttpLimits(this.connectTimeout, this.readTimeout, this.callTimeout, this.maximumCalls,
				maximumAnswerBytes);
	}

	private static void requirePositive(Duration duration, String name) {
		Objects.requireNonNull(duration, name);
		if (duration.isZero() || duration.isNegative()) {
			throw new IllegalArgumentException(name + " is not positive: " + duration);
		}
	}

}
