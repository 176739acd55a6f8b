package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RetainedPrograms.Activity;
import io.lentilslip.core.relay.RetainedTurns.RetainedTurn;

/**
 * Appends turns and the usage of programs again before their records in the log expire.
 * The log drops records by age, but a turn is needed as long as any turn that continues
 * it, and the usage as long as the program. Without a renewal both would exist only in
 * the memory of the relays that received them. The relay that ran a turn renews it first;
 * the replicas of its program follow one after the other if the record gets older. Used
 * by one thread.
 */
final class RenewalRules {

	/**
	 * The number of rounds in the retention of the log.
	 */
	static final int ROUNDS_PER_RETENTION = 32;

	/**
	 * The retention of the log is divided into this number of steps. The first relay
	 * renews a record after half of them, and each further one a step later.
	 */
	private static final int STEPS = 8;

	private static final int FIRST_STEP = 4;

	/**
	 * The steps after which a renewal that has not been read from the log is retried.
	 */
	private static final int RETRY_STEPS = 4;

	/**
	 * The maximum size of the texts that a relay renews in one round. Other texts of the
	 * relay wait behind them.
	 */
	private static final int MAX_ROUND_BYTES = 512 * 1024;

	/**
	 * The maximum number of texts that a relay reads from the log for renewals in one
	 * round. Turns whose chains are not in memory wait for the same connections.
	 */
	private static final int MAX_ROUND_READS = 4;

	/**
	 * The maximum number of renewals of texts that have not been read from the log. While
	 * texts can't be appended, further copies would displace the texts of running turns.
	 */
	private static final int MAX_PENDING = 256;

	/**
	 * The maximum number of programs whose usage a relay renews in one round.
	 */
	private static final int MAX_ROUND_PROGRAMS = 256;

	/**
	 * The maximum number of turns in one entry.
	 */
	private static final int MAX_ENTRY_TURNS = 1_000;

	private final RelayState state;

	/**
	 * When the renewals that have not been read from the log were started, by turn and by
	 * program.
	 */
	private final Map<String, Long> pending = new LinkedHashMap<>();

	private final Map<String, Long> pendingPrograms = new LinkedHashMap<>();

	RenewalRules(RelayState state) {
		this.state = state;
	}

	/**
	 * Records an entry that was read from the log.
	 * @param entry the entry
	 * @param writtenAt when it was written, by the monotonic clock
	 */
	void entryRead(LedgerEntry entry, long writtenAt) {
		if (this.state.logRetention.isZero()) {
			return;
		}
		switch (entry) {
			case LedgerEntry.Reserved reserved -> this.state.retainedPrograms.recordTurn(reserved.program(), writtenAt);
			case LedgerEntry.Settled settled -> {
				if (!settled.renewal()) {
					this.state.retainedPrograms.recordTurn(settled.program(), writtenAt);
				}
				settled.textLocation().ifPresent((location) -> textRead(settled, location, writtenAt));
			}
			case LedgerEntry.UsageRenewed renewed -> {
				this.pendingPrograms.remove(renewed.program());
				// Turns that had just started at other relays may be missing.
				this.state.retainedPrograms.recordRenewal(renewed.program(), writtenAt - step(),
						writtenAt + renewed.retention().toMillis());
			}
			case LedgerEntry.UpstreamFailed ignored -> {
			}
		}
	}

	private void textRead(LedgerEntry.Settled settled, TextLocation location, long writtenAt) {
		this.state.retainedTurns.record(settled, location, writtenAt, retention(location).toMillis());
		if (location.renewed()) {
			this.pending.remove(settled.request());
		}
	}

	private Duration longestRetention() {
		return this.state.routeTable.map(RouteTable::longestRetention).orElse(Duration.ZERO);
	}

	private Duration retention(TextLocation location) {
		boolean known = location.renewed() || location.retention().isPositive();
		return known ? location.retention() : longestRetention();
	}

	/**
	 * Starts the renewals that are due, the oldest records first.
	 */
	void renewDue() {
		boolean logUsable = this.state.connectivity == Connectivity.LOG && this.state.caughtUp && !this.state.logStale;
		if (this.state.logRetention.isZero() || !logUsable || this.state.routeTable.isEmpty()) {
			return;
		}
		long now = this.state.now;
		// After a full restart callers resume all conversations at once.
		if (now - this.state.caughtUpAt < step()) {
			return;
		}
		this.pending.values().removeIf((startedAt) -> now - startedAt > step() * RETRY_STEPS);
		this.pendingPrograms.values().removeIf((startedAt) -> now - startedAt > step() * RETRY_STEPS);
		renewTurns(now);
		renewUsage(now);
	}

	private void renewTurns(long now) {
		int bytes = 0;
		int reads = 0;
		for (RetainedTurn turn : this.state.retainedTurns.olderThan(now, step() * FIRST_STEP,
				this.state.logRetention.toMillis())) {
			if (bytes >= MAX_ROUND_BYTES || reads >= MAX_ROUND_READS || this.pending.size() >= MAX_PENDING) {
				return;
			}
			String request = turn.settled().request();
			if (now - turn.writtenAt() >= renewalAge(turn) && !this.pending.containsKey(request)) {
				this.pending.put(request, now);
				bytes += turn.location().bytes();
				reads += renew(request) ? 0 : 1;
			}
		}
	}

	// Only replicas of a program know all of its turns.
	private void renewUsage(long now) {
		int entries = 0;
		long retention = longestRetention().toMillis();
		for (Map.Entry<String, Activity> next : this.state.retainedPrograms
			.olderThan(now - step() * FIRST_STEP, now, retention)
			.entrySet()) {
			String program = next.getKey();
			boolean due = now - next.getValue().oldestAt() >= usageRenewalAge(program);
			if (entries == MAX_ROUND_PROGRAMS || !due || this.pendingPrograms.containsKey(program)) {
				continue;
			}
			Map<RunId, TurnTokens> turns = this.state.tokens.turns(program);
			if (turns.isEmpty()) {
				// Evicted here. Another replica has the usage.
				continue;
			}
			this.pendingPrograms.put(program, now);
			entries++;
			appendUsage(program, turns, Duration.ofMillis(next.getValue().retainedUntil(retention) - now));
		}
	}

	// An entry that exceeds a record of the log would never be stored.
	private void appendUsage(String program, Map<RunId, TurnTokens> turns, Duration remaining) {
		Map<RunId, TurnTokens> part = new HashMap<>();
		for (Map.Entry<RunId, TurnTokens> turn : turns.entrySet()) {
			part.put(turn.getKey(), turn.getValue());
			if (part.size() == MAX_ENTRY_TURNS) {
				append(new LedgerEntry.UsageRenewed(program, part, remaining));
				part.clear();
			}
		}
		if (!part.isEmpty()) {
			append(new LedgerEntry.UsageRenewed(program, part, remaining));
		}
	}

	private void append(LedgerEntry entry) {
		this.state.emit(new RelayEffect.AppendEntry(entry, List.of()));
	}

	private long usageRenewalAge(String program) {
		List<String> replicas = this.state.replicas.replicasOf(program);
		int rank = replicas.isEmpty() ? 0 : replicas.indexOf(this.state.name);
		return (rank < 0) ? Long.MAX_VALUE : step() * (FIRST_STEP + rank);
	}

	private long step() {
		return this.state.logRetention.toMillis() / STEPS;
	}

	private long renewalAge(RetainedTurn turn) {
		boolean origin = turn.location().origin().equals(Optional.of(this.state.name));
		List<String> replicas = this.state.replicas.replicasOf(turn.settled().program());
		if (origin || replicas.isEmpty()) {
			return step() * FIRST_STEP;
		}
		int rank = replicas.indexOf(this.state.name);
		return (rank < 0) ? Long.MAX_VALUE : step() * (FIRST_STEP + 1 + rank);
	}

	/**
	 * Renews the text of a turn, or reads it first.
	 * @param request the turn
	 * @return whether the text was in memory
	 */
	private boolean renew(String request) {
		Optional<StoredTurn> text = this.state.turnCache.text(request);
		if (text.isPresent()) {
			this.state.emit(new RelayEffect.StoreText(request, text.get()));
			return true;
		}
		if (this.state.pendingReads.add(request)) {
			this.state.emit(new RelayEffect.ReadText(request, this.state.turnCache.locations(request)));
		}
		return false;
	}

	/**
	 * Continues a renewal whose text was read from the log.
	 * @param read the result of the read
	 */
	void textRead(RelayEvent.TextRead read) {
		if (this.pending.containsKey(read.request())) {
			read.text().ifPresent((text) -> this.state.emit(new RelayEffect.StoreText(read.request(), text)));
		}
	}

	/**
	 * Appends the new locations of renewed texts. Nothing waits for them, so they follow
	 * the append and name its offset.
	 * @param stored the stored texts
	 */
	void textsStored(RelayEvent.TextsStored stored) {
		for (String request : stored.requests()) {
			if (this.pending.containsKey(request)) {
				this.state.retainedTurns.find(request).ifPresent((turn) -> appendLocation(turn, stored.firstOffset()));
			}
		}
	}

	private void appendLocation(RetainedTurn turn, long minOffset) {
		LedgerEntry.Settled settled = turn.settled();
		Duration remaining = Duration.ofMillis(Math.max(0, turn.retainedUntil() - this.state.now));
		TextLocation location = turn.location().renewedAt(this.state.textPartition, minOffset, remaining);
		append(new LedgerEntry.Settled(settled.run(), settled.program(), settled.tokens(), Optional.of(location)));
		this.state.emit(new RelayEffect.RecordMeasurement(new Measurement.TurnRenewed(turn.location().bytes())));
	}

}
