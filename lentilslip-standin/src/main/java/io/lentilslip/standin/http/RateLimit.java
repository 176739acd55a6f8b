package io.lentilslip.standin.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jooby.Context;
import io.jooby.StatusCode;

/**
 * A token bucket that holds the tokens of one second. Safe for use by several threads.
 */
public final class RateLimit {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final int perSecond;

	private final LongSupplier nanoClock;

	private double tokens;

	private long refilledAt;

	/**
	 * Creates a full bucket.
	 * @param perSecond the tokens that a second brings
	 * @param nanoClock a clock in nanoseconds that never goes back
	 */
	public RateLimit(int perSecond, LongSupplier nanoClock) {
		if (perSecond < 1) {
			throw new IllegalArgumentException("perSecond must be at least 1: " + perSecond);
		}
		this.perSecond = perSecond;
		this.nanoClock = nanoClock;
		this.tokens = perSecond;
		this.refilledAt = nanoClock.getAsLong();
	}

	/**
	 * Takes a token.
	 * @return the time until the next token comes, or an empty result if one was taken
	 */
	public synchronized Optional<Duration> take() {
		long now = this.nanoClock.getAsLong();
		double gained = (now - this.refilledAt) / NANOS_PER_SECOND * this.perSecond;
		this.tokens = Math.min(this.perSecond, this.tokens + gained);
		this.refilledAt = now;
		if (this.tokens >= 1) {
			this.tokens--;
			return Optional.empty();
		}
		double missing = (1 - this.tokens) / this.perSecond;
		return Optional.of(Duration.ofNanos((long) Math.ceil(missing * NANOS_PER_SECOND)));
	}

	/**
	 * Answers a request by 429.
	 * @param context the request
	 * @param delay the time until the next token comes, stated in whole seconds
	 */
	public static void refuse(Context context, Duration delay) {
		context.setResponseHeader("Retry-After", Math.max(1, delay.plusSeconds(1).minusNanos(1).toSeconds()));
		Json.sendError(context, StatusCode.TOO_MANY_REQUESTS, "over the rate");
	}

}
