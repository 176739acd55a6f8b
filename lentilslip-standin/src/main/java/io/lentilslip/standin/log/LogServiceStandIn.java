package io.lentilslip.standin.log;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.AvailabilityGate;
import io.lentilslip.standin.http.FaultCounter;
import io.lentilslip.standin.http.Json;
import io.lentilslip.standin.http.RateLimit;
import io.lentilslip.standin.http.StandInServer;

/**
 * A log service for tests and the demonstration: streams with offsets, an append rate,
 * retention, outages, and answers that get lost after the append took effect. All state
 * is in memory and bounded by {@link LogLimits}. Reads that wait hold no thread. Safe for
 * use by several threads.
 */
public final class LogServiceStandIn implements AutoCloseable {

	private static final String RECORDS_PATH = "/v1/streams/{stream}/records";

	private static final String LOST_ANSWERS_PATH = "/control/lost-answers";

	private static final int MAXIMUM_RECORD_BYTES = 1024 * 1024;

	private static final int MAXIMUM_PAGE = 10_000;

	private static final long MAXIMUM_WAIT_MILLIS = 30_000;

	private final Object lock = new Object();

	private final Map<String, StoredStream> streams = new HashMap<>();

	private final Map<WaitingRead, Future<?>> waitingReads = new LinkedHashMap<>();

	private final FaultCounter answersToLose = new FaultCounter();

	private final LogLimits limits;

	private final LongSupplier nanoClock;

	private final long startedAt;

	private final long startedMillis = System.currentTimeMillis();

	private final RateLimit appendRate;

	private final StandInServer server;

	private AvailabilityGate gate;

	private LogServiceStandIn(int port, LogLimits limits, LongSupplier nanoClock) {
		this.limits = limits;
		this.nanoClock = nanoClock;
		this.startedAt = nanoClock.getAsLong();
		this.appendRate = new RateLimit(limits.appendsPerSecond(), nanoClock);
		this.server = StandInServer.start(port, this::install);
	}

	/**
	 * Starts an empty log service on a free port with the usual limits.
	 * @return the stand-in, which listens already
	 */
	public static LogServiceStandIn start() {
		return start(StandInServer.ANY_PORT, LogLimits.defaults(), System::nanoTime);
	}

	/**
	 * Starts an empty log service.
	 * @param port the port, or {@link StandInServer#ANY_PORT}
	 * @param limits its bounds
	 * @param nanoClock a clock in nanoseconds that never goes back, for rate and
	 * retention
	 * @return the stand-in, which listens already
	 */
	public static LogServiceStandIn start(int port, LogLimits limits, LongSupplier nanoClock) {
		return new LogServiceStandIn(port, limits, nanoClock);
	}

	/**
	 * Returns the address that this stand-in listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Changes how requests that arrive from now on are taken.
	 * @param availability the new state
	 */
	public void setAvailability(Availability availability) {
		this.gate.set(availability);
	}

	/**
	 * Lets the answers of the next appends get lost: the record is stored, and the
	 * connection is reset in place of an answer.
	 * @param count the number of appends
	 */
	public void loseAnswers(int count) {
		this.answersToLose.set(count);
	}

	/**
	 * Returns the offset of a stream's next append: the number of records it has taken.
	 * @param stream the stream
	 * @return the offset
	 */
	public long next(String stream) {
		synchronized (this.lock) {
			StoredStream stored = this.streams.get(stream);
			return (stored != null) ? stored.next() : 0;
		}
	}

	/**
	 * Returns the number of reads that wait for a record.
	 * @return the number of reads
	 */
	public int waitingReads() {
		synchronized (this.lock) {
			return this.waitingReads.size();
		}
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void install(Jooby application, StandInServer running) {
		this.gate = AvailabilityGate.install(application, running);
		application.post(RECORDS_PATH, this.gate.before((context) -> append(context, running)));
		application.get(RECORDS_PATH, this.gate.before((context) -> read(context, running)));
		this.answersToLose.install(application, LOST_ANSWERS_PATH);
	}

	private void append(Context context, StandInServer running) {
		byte[] data = context.body().bytes();
		if (data.length > MAXIMUM_RECORD_BYTES) {
			Json.sendError(context, StatusCode.REQUEST_ENTITY_TOO_LARGE, "a record has at most 1 MiB");
			return;
		}
		Optional<Duration> delay = this.appendRate.take();
		if (delay.isPresent()) {
			RateLimit.refuse(context, delay.get());
			return;
		}
		Optional<Stored> stored = store(context.path("stream").value(), data);
		if (stored.isEmpty()) {
			Json.sendError(context, StatusCode.SERVICE_UNAVAILABLE, "too many streams");
			return;
		}
		stored.get().answers().forEach(ReadyAnswer::send);
		if (this.answersToLose.take()) {
			running.reset(context);
			return;
		}
		Json.send(context, Map.of("offset", stored.get().offset()));
	}

	private Optional<Stored> store(String stream, byte[] data) {
		synchronized (this.lock) {
			Optional<StoredStream> target = findOrCreate(stream);
			if (target.isEmpty()) {
				return Optional.empty();
			}
			long now = this.nanoClock.getAsLong();
			long millis = this.startedMillis + TimeUnit.NANOSECONDS.toMillis(now - this.startedAt);
			long offset = target.get().append(data, millis, now);
			return Optional.of(new Stored(offset, takeReady(stream, target.get(), now)));
		}
	}

	private Optional<StoredStream> findOrCreate(String stream) {
		if (!this.streams.containsKey(stream) && this.streams.size() >= this.limits.streams()) {
			return Optional.empty();
		}
		return Optional.of(this.streams.computeIfAbsent(stream, (name) -> new StoredStream(this.limits)));
	}

	/**
	 * Takes the waiting reads that an append satisfies. Whoever takes a read out of the
	 * map, an append or the end of its wait, answers it, so that none is answered twice.
	 * @param stream the stream of the append
	 * @param source the records of that stream
	 * @param now the time
	 * @return their answers, to be sent without the lock
	 */
	private List<ReadyAnswer> takeReady(String stream, StoredStream source, long now) {
		List<ReadyAnswer> ready = new ArrayList<>();
		Iterator<Map.Entry<WaitingRead, Future<?>>> remaining = this.waitingReads.entrySet().iterator();
		while (remaining.hasNext()) {
			Map.Entry<WaitingRead, Future<?>> waiting = remaining.next();
			WaitingRead read = waiting.getKey();
			if (read.stream().equals(stream) && read.from() < source.next()) {
				waiting.getValue().cancel(false);
				remaining.remove();
				ready.add(new ReadyAnswer(read.context(), source.read(read.from(), read.limit(), now)));
			}
		}
		return ready;
	}

	private void read(Context context, StandInServer running) {
		WaitingRead read;
		long waitMillis;
		try {
			read = new WaitingRead(context, context.path("stream").value(), context.query("from").longValue(0),
					Math.min(MAXIMUM_PAGE, context.query("limit").intValue(MAXIMUM_PAGE)));
			waitMillis = Math.min(MAXIMUM_WAIT_MILLIS, context.query("wait_ms").longValue(0));
		}
		catch (RuntimeException ex) {
			Json.sendError(context, StatusCode.BAD_REQUEST, "from, limit and wait_ms must be whole numbers");
			return;
		}
		if (waitMillis <= 0 || !suspend(read, Duration.ofMillis(waitMillis), running)) {
			Json.send(context, page(read));
		}
	}

	private boolean suspend(WaitingRead read, Duration wait, StandInServer running) {
		synchronized (this.lock) {
			StoredStream source = this.streams.get(read.stream());
			boolean satisfied = source != null && read.from() < source.next();
			if (satisfied || this.waitingReads.size() >= this.limits.waitingReads()) {
				return false;
			}
			this.waitingReads.put(read, running.after(wait, () -> endWait(read)));
			return true;
		}
	}

	private void endWait(WaitingRead read) {
		synchronized (this.lock) {
			if (this.waitingReads.remove(read) == null) {
				return;
			}
		}
		Json.send(read.context(), page(read));
	}

	private Page page(WaitingRead read) {
		synchronized (this.lock) {
			StoredStream source = this.streams.get(read.stream());
			if (source == null) {
				return new Page(0, 0, List.of());
			}
			return source.read(read.from(), read.limit(), this.nanoClock.getAsLong());
		}
	}

	/**
	 * A read, perhaps waiting for a record.
	 *
	 * @param context the request
	 * @param stream the stream
	 * @param from the offset to read from
	 * @param limit the most records to answer with
	 */
	private record WaitingRead(Context context, String stream, long from, int limit) {

	}

	/**
	 * An answer to a read that waited.
	 *
	 * @param context the request
	 * @param page the answer
	 */
	private record ReadyAnswer(Context context, Page page) {

		void send() {
			Json.send(this.context, this.page);
		}

	}

	/**
	 * What an append did.
	 *
	 * @param offset the offset of the record
	 * @param answers the answers to reads that waited for it
	 */
	private record Stored(long offset, List<ReadyAnswer> answers) {

	}

}
