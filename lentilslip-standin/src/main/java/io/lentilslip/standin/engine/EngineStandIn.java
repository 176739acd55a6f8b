package io.lentilslip.standin.engine;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A model engine on 127.0.0.1 that takes the place of a real one. It can crash and come
 * back on the same port, with another instance number and an empty memory; its counts go
 * on over crashes. Safe for use by several threads.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final long INSTANCE_BOUND = 1L << 53;

	private final EngineSettings settings;

	private final EngineCounters counters = new EngineCounters();

	private final SecureRandom random = new SecureRandom();

	private final EngineServer server = new EngineServer();

	private final ScheduledThreadPoolExecutor supervisor = new ScheduledThreadPoolExecutor(1,
			Thread.ofPlatform().daemon().name("engine-standin-supervisor").factory());

	private Optional<EngineLife> life = Optional.empty();

	private boolean closed;

	private int port;

	private EngineStandIn(EngineSettings settings) {
		this.settings = settings;
		this.port = settings.port();
		this.supervisor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	/**
	 * Starts an engine.
	 * @param settings what the engine is told
	 * @return the engine, which takes requests already
	 */
	public static EngineStandIn start(EngineSettings settings) {
		EngineStandIn engine = new EngineStandIn(settings);
		try {
			engine.restart();
		}
		catch (RuntimeException ex) {
			engine.close();
			throw ex;
		}
		return engine;
	}

	/**
	 * Starts the engine again after a crash, on the same port. Without effect on an
	 * engine that runs.
	 */
	public synchronized void restart() {
		if (this.closed || this.life.isPresent()) {
			return;
		}
		EngineLife next = new EngineLife(this.random.nextLong(1, INSTANCE_BOUND), this.settings, this.counters,
				this::crashByRequest);
		this.port = this.server.listen(this.port, new EngineRoutes(next, this.settings, this.counters));
		this.life = Optional.of(next);
	}

	/**
	 * Ends the engine at once: its memory is lost and all connections are reset without
	 * an answer. It stays away until {@link #restart()}.
	 */
	public synchronized void crash() {
		this.life.ifPresent(this::end);
	}

	/**
	 * Ends one life of the engine, and not the one after it if that has begun.
	 * @param ending the life to end
	 */
	private synchronized void end(EngineLife ending) {
		if (this.life.filter((present) -> present == ending).isEmpty()) {
			return;
		}
		ending.close();
		this.life = Optional.empty();
		this.server.drop();
	}

	private void crashByRequest(EngineLife crashing) {
		Duration downtime = this.settings.crashDowntime().orElseThrow();
		this.supervisor.execute(() -> end(crashing));
		this.supervisor.schedule(this::restart, downtime.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns the address of the engine.
	 * @return the address with the port in use
	 */
	public synchronized InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.port);
	}

	/**
	 * Returns the number of the engine's present start.
	 * @return the number, or empty while it is away
	 */
	public synchronized Optional<Long> instance() {
		return this.life.map(EngineLife::instance);
	}

	/**
	 * Returns the tokens of memory that running requests and pinned sessions hold now.
	 * @return the tokens, in whole blocks; 0 while the engine is away
	 */
	public synchronized int heldTokens() {
		return this.life.map((present) -> present.memory().join().heldTokens()).orElse(0);
	}

	/**
	 * Returns the tokens generated since the first start.
	 * @return the number of tokens
	 */
	public long generatedTokens() {
		return this.counters.generatedTokens();
	}

	/**
	 * Returns the prompt tokens computed since the first start, without those found in
	 * memory.
	 * @return the number of tokens
	 */
	public long prefilledTokens() {
		return this.counters.prefilledTokens();
	}

	/**
	 * Returns how often a request began to run since the first start.
	 * @param requestId the caller's name for the request
	 * @return the number of runs
	 */
	public int runs(String requestId) {
		return this.counters.runs(requestId);
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.supervisor.shutdownNow();
		crash();
		this.server.close();
	}

}
