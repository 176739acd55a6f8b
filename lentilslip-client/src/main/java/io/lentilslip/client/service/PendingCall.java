package io.lentilslip.client.service;

import java.util.Objects;
import java.util.concurrent.CompletionStage;

/**
 * A call of a plain service that is under way. Its outcome always comes, also after
 * {@link #cancel()}. Safe for use by several threads.
 */
public final class PendingCall {

	private final CompletionStage<ServiceOutcome> outcome;

	private final Runnable cancellation;

	PendingCall(CompletionStage<ServiceOutcome> outcome, Runnable cancellation) {
		this.outcome = Objects.requireNonNull(outcome, "outcome");
		this.cancellation = Objects.requireNonNull(cancellation, "cancellation");
	}

	/**
	 * Returns the outcome.
	 * @return a stage that completes with the outcome, never exceptionally
	 */
	public CompletionStage<ServiceOutcome> outcome() {
		return this.outcome;
	}

	/**
	 * Breaks the call off. The service may go on with a request that it has received, so
	 * the outcome is {@link ServiceOutcome.NotSent} only if nothing had left.
	 */
	public void cancel() {
		this.cancellation.run();
	}

}
