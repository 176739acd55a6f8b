package io.lentilslip.standin.engine;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An engine from one start to its end. It gives the batching model time and tells callers
 * what comes of their requests. All its state belongs to its one thread; its methods may
 * be called by any thread and pass their work to that thread. After {@link #close()}
 * nothing happens any more and no caller is told anything, as with a process that died.
 */
final class EngineLife implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EngineLife.class);

	private final long instance;

	private final EngineSettings settings;

	private final EngineCounters counters;

	private final Consumer<EngineLife> crash;

	private final BatchingModel model;

	private final RequestTable requests;

	private final CacheEventLog cacheEvents;

	private final LoadReports loadReports;

	private final OrderBook orders;

	private final ScheduledThreadPoolExecutor thread;

	private long lastNumber;

	private boolean stepping;

	/**
	 * Creates an engine with an empty memory.
	 * @param instance the number of this start
	 * @param settings what the engine is told
	 * @param counters the counts over all starts
	 * @param crash what brings about a crash; called on the engine's thread
	 */
	EngineLife(long instance, EngineSettings settings, EngineCounters counters, Consumer<EngineLife> crash) {
		this.instance = instance;
		this.settings = settings;
		this.counters = counters;
		this.crash = crash;
		this.cacheEvents = new CacheEventLog(System::nanoTime, settings.reports().cacheEventLag().toNanos(),
				settings.reports().loseCacheEventEvery());
		this.model = new BatchingModel(settings.limits(), settings.timing(), this.cacheEvents);
		this.requests = new RequestTable(settings.kept().toNanos());
		this.loadReports = new LoadReports(settings.reports().loadLag().toNanos(), measure());
		this.orders = new OrderBook(settings.fencing(), settings.model());
		this.thread = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().name("engine-standin").factory());
		this.thread.setRemoveOnCancelPolicy(true);
		this.thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	/**
	 * Returns the number of this start.
	 * @return the number
	 */
	long instance() {
		return this.instance;
	}

	/**
	 * Takes a request, which waits or is refused.
	 * @param id the caller's name for the request
	 * @param chat what the caller asks for
	 * @param sink what takes the answer
	 * @return the request; fails with a {@link RejectedRequestException} if it is refused
	 */
	CompletableFuture<KeptRequest> submit(String id, ChatRequest chat, AnswerSink sink) {
		return call(() -> {
			if (!this.orders.serves(chat.model())) {
				throw new RejectedRequestException(404, "model_not_found", "model " + chat.model() + " is not loaded");
			}
			this.lastNumber++;
			KeptRequest request = new KeptRequest(id, this.lastNumber, chat);
			admit(request);
			this.requests.add(request);
			request.subscribe(sink, 0);
			wake();
			return request;
		});
	}

	private void admit(KeptRequest request) {
		switch (this.model.submit(request.forModel())) {
			case QUEUED -> {
			}
			case QUEUE_FULL -> throw new RejectedRequestException(429, "queue_full", "the queue is full");
			case TOO_LONG -> throw new RejectedRequestException(400, "context_length_exceeded",
					"prompt and answer are longer than the engine's memory");
		}
	}

	/**
	 * Cancels the latest request of a name.
	 * @param id the caller's name for the request
	 * @return what the request was doing
	 */
	CompletableFuture<BatchingModel.Cancellation> cancel(String id) {
		return call(() -> this.requests.named(id, System.nanoTime())
			.map(this::cancel)
			.orElse(BatchingModel.Cancellation.UNKNOWN));
	}

	/**
	 * Notes that the connection of a request's caller is gone. The request goes on only
	 * if it asked for that.
	 * @param request the request
	 * @param sink the sink of that connection
	 */
	void disconnected(KeptRequest request, AnswerSink sink) {
		call(() -> {
			request.unsubscribe(sink);
			if (!request.chat().survivesDisconnect()) {
				cancel(request);
			}
			return request;
		});
	}

	private BatchingModel.Cancellation cancel(KeptRequest request) {
		if (request.hasEnded()) {
			return BatchingModel.Cancellation.UNKNOWN;
		}
		BatchingModel.Cancellation cancellation = this.model.cancel(request.number());
		KeptRequest.State state = (request.state() == KeptRequest.State.WAITING) ? KeptRequest.State.CANCELLED_UNSTARTED
				: KeptRequest.State.CANCELLED;
		this.requests.end(request, state, System.nanoTime());
		wake();
		return cancellation;
	}

	/**
	 * Sends the answer of the latest request of a name to one more sink.
	 * @param id the caller's name for the request
	 * @param from the position of the first token of interest
	 * @param sink what takes the answer
	 * @return the request; fails with a {@link RejectedRequestException} if it is not
	 * kept
	 */
	CompletableFuture<KeptRequest> resume(String id, int from, AnswerSink sink) {
		return call(() -> {
			KeptRequest request = this.requests.named(id, System.nanoTime())
				.orElseThrow(() -> new RejectedRequestException(404, "request_not_found", "the request is not kept"));
			request.subscribe(sink, from);
			return request;
		});
	}

	/**
	 * Removes a sink that {@link #resume} added. The request goes on.
	 * @param request the request
	 * @param sink the sink
	 */
	void unsubscribe(KeptRequest request, AnswerSink sink) {
		call(() -> {
			request.unsubscribe(sink);
			return request;
		});
	}

	/**
	 * Ends a session's pin.
	 * @param session the session's name
	 * @return whether it was pinned
	 */
	CompletableFuture<Boolean> release(String session) {
		return call(() -> {
			boolean released = this.model.release(session);
			wake();
			return released;
		});
	}

	/**
	 * Exports a pinned session, which stays pinned.
	 * @param session the session's name
	 * @return the octets that stand for its KV cache
	 */
	CompletableFuture<byte[]> exportSession(String session) {
		return call(() -> pinned(session)).thenCompose((chain) -> transfer(chain, () -> KvHandle.write(chain)));
	}

	private BlockChain pinned(String session) {
		this.model.expire(System.nanoTime());
		return this.model.session(session)
			.map((pinned) -> pinned.chain().copy())
			.orElseThrow(() -> new RejectedRequestException(404, "session_not_found", "the session is not pinned"));
	}

	/**
	 * Imports a session, which is pinned at the end of the transfer and not before.
	 * @param pin the session and its lease
	 * @param chain the blocks
	 * @return the session's tokens
	 */
	CompletableFuture<Integer> importSession(ModelRequest.Pin pin, BlockChain chain) {
		return transfer(chain, () -> {
			if (!this.model.importSession(pin, chain, System.nanoTime())) {
				throw new RejectedRequestException(503, "memory_full", "there is no memory for the session");
			}
			scheduleLeaseEnd(pin);
			wake();
			return chain.tokens();
		});
	}

	/**
	 * Returns the memory's state.
	 * @return the pinned sessions and the tokens in use
	 */
	CompletableFuture<Memory> memory() {
		return call(() -> {
			this.model.expire(System.nanoTime());
			return new Memory(this.model.sessions(), this.model.heldTokens(), this.model.evictableTokens(),
					System.nanoTime());
		});
	}

	/**
	 * Returns the load as it is reported now.
	 * @return a report, perhaps late
	 */
	CompletableFuture<LoadReport> load() {
		return call(() -> {
			long now = System.nanoTime();
			this.loadReports.record(now, measure());
			return this.loadReports.shown(now);
		});
	}

	private LoadReport measure() {
		return new LoadReport(this.model.running(), this.model.waiting(), this.model.heldTokens(),
				this.settings.limits().memoryTokens(), System.currentTimeMillis());
	}

	/**
	 * Returns cache events that may be shown now.
	 * @param from the lowest number of interest
	 * @param limit the most events
	 * @return the events
	 */
	CompletableFuture<CacheEventLog.Page> cacheEvents(long from, int limit) {
		return call(() -> this.cacheEvents.page(from, limit));
	}

	/**
	 * Does something with the orders.
	 * @param <T> the type of the result
	 * @param action what to do on the engine's thread
	 * @return the result
	 */
	<T> CompletableFuture<T> orders(Function<OrderBook, T> action) {
		return call(() -> action.apply(this.orders));
	}

	/**
	 * Carries out an order unless its fencing number is old.
	 * @param order the order
	 * @return whether it was carried out
	 */
	CompletableFuture<Boolean> order(JsonNode order) {
		return orders((book) -> book.apply(order));
	}

	private void wake() {
		if (!this.stepping) {
			step();
		}
	}

	private void step() {
		long prefilled = this.model.prefilledTokens();
		long generated = this.model.generatedTokens();
		Optional<BatchingModel.Step> step = this.model.step(System.nanoTime());
		this.counters.countTokens(this.model.prefilledTokens() - prefilled, this.model.generatedTokens() - generated);
		this.loadReports.record(System.nanoTime(), measure());
		this.stepping = step.isPresent();
		step.ifPresent(
				(next) -> schedule(() -> deliver(next.events()), this.settings.timing().realNanos(next.nanos())));
	}

	private void deliver(List<ModelEvent> events) {
		for (ModelEvent event : events) {
			Optional<KeptRequest> request = this.requests.active(event.number());
			if (request.isEmpty()) {
				continue;
			}
			if (event instanceof ModelEvent.Started && crashesAt(request.get())) {
				return;
			}
			deliver(event, request.get());
		}
		step();
	}

	private boolean crashesAt(KeptRequest request) {
		if (this.settings.crashDowntime().isEmpty() || !request.chat().conversation().crashes()) {
			return false;
		}
		this.counters.countRun(request.id());
		this.crash.accept(this);
		return true;
	}

	private void deliver(ModelEvent event, KeptRequest request) {
		switch (event) {
			case ModelEvent.Started started -> {
				this.counters.countRun(request.id());
				request.start(started.cachedTokens());
			}
			case ModelEvent.Generated generated -> request.generate(generated.position());
			case ModelEvent.Finished finished -> {
				this.requests.end(request, KeptRequest.State.FINISHED, System.nanoTime());
				request.chat().pin().ifPresent(this::scheduleLeaseEnd);
			}
		}
	}

	/**
	 * Ends a pin on time even if nothing else happens in the engine, so that its memory
	 * is not held until the next request.
	 * @param pin the pin that begins now
	 */
	private void scheduleLeaseEnd(ModelRequest.Pin pin) {
		pin.leaseNanos().ifPresent((lease) -> schedule(() -> {
			this.model.expire(System.nanoTime());
			wake();
		}, lease));
	}

	private void schedule(Runnable task, long nanos) {
		this.thread.schedule(() -> runLogged(task), nanos, TimeUnit.NANOSECONDS);
	}

	private void runLogged(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.error("the engine stand-in has a fault and stops", ex);
			throw ex;
		}
	}

	private <T> CompletableFuture<T> transfer(BlockChain chain, Supplier<T> end) {
		CompletableFuture<T> result = new CompletableFuture<>();
		long nanos = this.settings.timing().transferNanos(chain.tokens());
		schedule(() -> complete(result, end), this.settings.timing().realNanos(nanos));
		return result;
	}

	private <T> CompletableFuture<T> call(Supplier<T> action) {
		CompletableFuture<T> result = new CompletableFuture<>();
		try {
			this.thread.execute(() -> complete(result, action));
		}
		catch (RejectedExecutionException ex) {
			result.completeExceptionally(ex);
		}
		return result;
	}

	private static <T> void complete(CompletableFuture<T> result, Supplier<T> action) {
		try {
			result.complete(action.get());
		}
		catch (RuntimeException ex) {
			result.completeExceptionally(ex);
		}
	}

	@Override
	public void close() {
		this.thread.shutdownNow();
	}

	/**
	 * The state of an engine's memory.
	 *
	 * @param sessions the pinned sessions
	 * @param heldTokens the tokens held by requests and pinned sessions
	 * @param evictableTokens the tokens cached beside them
	 * @param now the nanoseconds of the engine's clock
	 */
	record Memory(List<BatchingModel.PinnedSession> sessions, int heldTokens, int evictableTokens, long now) {

	}

}
