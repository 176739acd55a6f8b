package io.lentilslip.sidecar.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lentilslip.client.log.LogService;
import io.lentilslip.client.log.ReadOutcome;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.LedgerCodec;
import io.vavr.control.Either;

/**
 * Reads the turns of programs backwards from the last, each record naming the place of
 * the one before it. A history is whole or it is none: were a turn left out, the model
 * would go on from a conversation that never was. Safe for use by several threads.
 */
public final class HistoryReader implements AutoCloseable {

	private static final int READS_AT_ONCE = 8;

	private static final Duration LONGEST = Duration.ofSeconds(30);

	private final LogService log;

	private final Consumer<SidecarEvent> events;

	private final Supplier<Instant> clock;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Semaphore reads = new Semaphore(READS_AT_ONCE, true);

	/**
	 * Creates a reader.
	 * @param log the log service
	 * @param events where the turns are told
	 * @param clock the clock
	 */
	public HistoryReader(LogService log, Consumer<SidecarEvent> events, Supplier<Instant> clock) {
		this.log = log;
		this.events = events;
		this.clock = clock;
	}

	/**
	 * Begins to read the turns of a program. Returns at once.
	 * @param effect the program and where its last turn stands
	 */
	public void read(SidecarEffect.ReadHistory effect) {
		this.executor.execute(() -> {
			try {
				this.reads.acquire();
				try {
					this.events.accept(event(effect, collect(effect)));
				}
				finally {
					this.reads.release();
				}
			}
			catch (InterruptedException ex) {
				// The reader was closed; nobody waits for the history.
				Thread.currentThread().interrupt();
			}
		});
	}

	private SidecarEvent event(SidecarEffect.ReadHistory effect, Either<Missing, List<Turn>> turns) {
		Instant now = this.clock.get();
		return turns.fold(
				(missing) -> new SidecarEvent.HistoryReadFailed(effect.program(), effect.epoch(),
						missing == Missing.LOST, now),
				(read) -> new SidecarEvent.HistoryRead(effect.program(), effect.epoch(), read, now));
	}

	private Either<Missing, List<Turn>> collect(SidecarEffect.ReadHistory effect) throws InterruptedException {
		Instant end = this.clock.get().plus(LONGEST);
		List<Turn> turns = new ArrayList<>();
		Optional<Position> next = Optional.of(effect.lastTurnPosition());
		while (next.isPresent()) {
			if (this.clock.get().isAfter(end)) {
				return Either.left(Missing.UNREACHABLE);
			}
			Either<Missing, LedgerRecord.TurnCommitted> record = record(effect.program(), next.get());
			if (record.isLeft()) {
				return Either.left(record.getLeft());
			}
			if (!turns.isEmpty() && record.get().turn().number() != turns.getLast().number() - 1) {
				return Either.left(Missing.LOST);
			}
			turns.add(record.get().turn());
			next = record.get().previous();
		}
		Collections.reverse(turns);
		return (turns.getFirst().number() == 1) ? Either.right(turns) : Either.left(Missing.LOST);
	}

	private Either<Missing, LedgerRecord.TurnCommitted> record(ProgramId program, Position position)
			throws InterruptedException {
		return switch (read(position.offset())) {
			case ReadOutcome.Unavailable unavailable -> Either.left(Missing.UNREACHABLE);
			case ReadOutcome.Records records when records.first() > position.offset() -> Either.left(Missing.LOST);
			case ReadOutcome.Records records when records.records().isEmpty() -> Either.left(Missing.UNREACHABLE);
			case ReadOutcome.Records records ->
				turn(program, position, LedgerCodec.decode(records.records().getFirst().data()));
		};
	}

	private static Either<Missing, LedgerRecord.TurnCommitted> turn(ProgramId program, Position position,
			Either<CodecProblem, List<LedgerRecord>> batch) {
		if (batch.isLeft() || position.index() >= batch.get().size()) {
			return Either.left(Missing.LOST);
		}
		if (batch.get().get(position.index()) instanceof LedgerRecord.TurnCommitted turn
				&& turn.program().equals(program)) {
			return Either.right(turn);
		}
		return Either.left(Missing.LOST);
	}

	private ReadOutcome read(long offset) throws InterruptedException {
		try {
			return this.log.read(LogStreams.PROGRAMS, offset, 1, Duration.ZERO).toCompletableFuture().get();
		}
		catch (ExecutionException ex) {
			return new ReadOutcome.Unavailable(String.valueOf(ex.getCause()));
		}
	}

	/**
	 * Breaks off what is being read.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/**
	 * Why a history can't be read.
	 */
	private enum Missing {

		/**
		 * The log no longer holds a record of it.
		 */
		LOST,

		/**
		 * The log can't be read now.
		 */
		UNREACHABLE

	}

}
