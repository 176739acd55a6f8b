package io.lentilslip.sidecar.upstream;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lentilslip.core.sidecar.RunId;

/**
 * The requests to the upstream that are under way, so that they can be broken off. An
 * entry leaves with {@link #ended}; how many there are is bounded by the reducer, which
 * starts no more than the upstream may be given. Safe for use by several threads.
 */
final class Runs {

	private final Map<RunId, CompletableFuture<Runnable>> cancellations = new ConcurrentHashMap<>();

	private final Executor executor;

	/**
	 * Creates a table without requests.
	 * @param executor what runs starts and cancellations
	 */
	Runs(Executor executor) {
		this.executor = executor;
	}

	/**
	 * Starts a request. Returns at once.
	 * @param run the request
	 * @param action what starts it and returns what breaks it off
	 * @param failed what is told if it can't be started through a fault of ours; without
	 * that the call would wait for an end that never comes
	 */
	void start(RunId run, Supplier<Runnable> action, Consumer<RuntimeException> failed) {
		CompletableFuture<Runnable> cancellation = new CompletableFuture<>();
		this.cancellations.put(run, cancellation);
		this.executor.execute(() -> {
			try {
				cancellation.complete(action.get());
			}
			catch (RuntimeException ex) {
				failed.accept(ex);
			}
		});
	}

	/**
	 * Breaks a request off. Returns at once: a cancellation waits for a part of the
	 * answer that is being handed over, and that waits for room in the mailbox. Run by
	 * the loop's thread, which alone makes room, it would wait for ever.
	 * @param run the request
	 */
	void cancel(RunId run) {
		CompletableFuture<Runnable> cancellation = this.cancellations.get(run);
		if (cancellation != null) {
			cancellation.thenAcceptAsync(Runnable::run, this.executor);
		}
	}

	/**
	 * Forgets a request that has ended.
	 * @param run the request
	 */
	void ended(RunId run) {
		this.cancellations.remove(run);
	}

}
