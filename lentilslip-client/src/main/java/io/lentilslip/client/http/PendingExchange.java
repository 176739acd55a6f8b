package io.lentilslip.client.http;

import java.util.Objects;
import java.util.concurrent.CompletionStage;

/**
 * An attempt under way. Its outcome always comes, also after {@link #cancel()}. Safe for
 * use by several threads.
 */
public final class PendingExchange {

	private final CompletionStage<Exchange> outcome;

	private final Runnable cancellation;

	PendingExchange(CompletionStage<Exchange> outcome, Runnable cancellation) {
		this.outcome = Objects.requireNonNull(outcome, "outcome");
		this.cancellation = Objects.requireNonNull(cancellation, "cancellation");
	}

	/**
	 * Returns the outcome.
	 * @return a stage that completes with the outcome, never exceptionally
	 */
	public CompletionStage<Exchange> outcome() {
		return this.outcome;
	}

	/**
	 * Gives the attempt up. The outcome tells whether the request may have been sent
	 * before; an answer that arrived whole stays the outcome.
	 */
	public void cancel() {
		this.cancellation.run();
	}

}
