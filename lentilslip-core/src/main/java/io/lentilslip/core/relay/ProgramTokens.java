package io.lentilslip.core.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Token usage of programs over all relays. A reservation counts with its maximum until
 * the turn is settled, so a relay that fails during a turn leaves the usage too high and
 * never too low. A conditional reservation counts from its position in the log, which all
 * relays read in the same order. Each run of a turn counts by itself, since a caller may
 * repeat the id of a turn that has run. The number of programs is bounded; the least
 * recently used ones are evicted. Used by one thread.
 */
final class ProgramTokens {

	private final int maxPrograms;

	private final LinkedHashMap<String, Account> accounts = new LinkedHashMap<>(64, 0.75f, true);

	ProgramTokens(int maxPrograms) {
		this.maxPrograms = maxPrograms;
	}

	/**
	 * Returns the tokens of a program that are spent or reserved.
	 * @param program the program
	 * @return the tokens
	 */
	long used(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? account.spent + account.reserved : 0;
	}

	/**
	 * Returns the tokens of a program's settled turns, which never decrease.
	 * @param program the program
	 * @return the tokens
	 */
	long spent(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? account.spent : 0;
	}

	/**
	 * Returns the tokens of a program that are spent or reserved, without the reservation
	 * of one turn.
	 * @param program the program
	 * @param run the run of the turn
	 * @return the tokens
	 */
	long usedExcluding(String program, RunId run) {
		Account account = this.accounts.get(program);
		if (account == null) {
			return 0;
		}
		return account.spent + account.reserved - account.reservedBy(run);
	}

	/**
	 * Reserves the maximum tokens of a turn, unless it is reserved or settled already.
	 * @param program the program
	 * @param run the run of the turn
	 * @param maxTokens the maximum tokens
	 */
	void reserve(String program, RunId run, int maxTokens) {
		Account account = account(program);
		if (account.countsAsNumbered(run)) {
			return;
		}
		account.removeUnnumbered(run);
		if (account.turns.putIfAbsent(run, new TurnTokens(maxTokens, true)) == null) {
			account.reserved += maxTokens;
		}
	}

	/**
	 * Returns whether a turn is reserved and not settled.
	 * @param program the program
	 * @param run the run of the turn
	 * @return whether it is
	 */
	boolean isOpen(String program, RunId run) {
		Account account = this.accounts.get(program);
		return account != null && account.turns.containsKey(run) && account.turns.get(run).open();
	}

	/**
	 * Returns the last known run of a request.
	 * @param program the program
	 * @param request the request
	 * @return the run, or empty if none is known
	 */
	Optional<RunId> lastRun(String program, String request) {
		return Optional.ofNullable(this.accounts.get(program))
			.map((account) -> account.turns.floorKey(RunId.last(request)))
			.filter((run) -> run.request().equals(request));
	}

	void settle(String program, RunId run, int tokens) {
		Account account = account(program);
		if (account.countsAsNumbered(run)) {
			return;
		}
		account.removeUnnumbered(run);
		TurnTokens before = account.turns.get(run);
		if (before != null && !before.open()) {
			return;
		}
		account.turns.put(run, new TurnTokens(tokens, false));
		account.reserved -= (before != null) ? before.tokens() : 0;
		account.spent += tokens;
	}

	/**
	 * Applies the usage of a program that was written again.
	 * @param renewed the usage
	 */
	void apply(LedgerEntry.UsageRenewed renewed) {
		renewed.turns().forEach((run, turn) -> {
			if (turn.open()) {
				reserve(renewed.program(), run, turn.tokens());
			}
			else {
				settle(renewed.program(), run, turn.tokens());
			}
		});
	}

	/**
	 * Returns the turns of a program.
	 * @param program the program
	 * @return the tokens by run
	 */
	Map<RunId, TurnTokens> turns(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? Map.copyOf(account.turns) : Map.of();
	}

	int size() {
		return this.accounts.size();
	}

	private Account account(String program) {
		Account account = this.accounts.computeIfAbsent(program, (key) -> new Account());
		if (this.accounts.size() > this.maxPrograms) {
			this.accounts.pollFirstEntry();
		}
		return account;
	}

	/**
	 * Turns and tokens of one program. Used by one thread.
	 */
	private static final class Account {

		private final NavigableMap<RunId, TurnTokens> turns = new TreeMap<>();

		private long spent;

		private long reserved;

		// A relay of an earlier version that passes an entry on drops the number of the
		// run. Without it the entry stands for the first run, which must not count twice.
		boolean countsAsNumbered(RunId run) {
			RunId next = run.numbered() ? null : this.turns.higherKey(run);
			return next != null && next.request().equals(run.request()) && next.isFirst();
		}

		void removeUnnumbered(RunId run) {
			boolean first = run.numbered() && run.isFirst();
			TurnTokens unnumbered = first ? this.turns.remove(RunId.unnumbered(run.request())) : null;
			if (unnumbered != null) {
				this.reserved -= unnumbered.open() ? unnumbered.tokens() : 0;
				this.spent -= unnumbered.open() ? 0 : unnumbered.tokens();
			}
		}

		int reservedBy(RunId run) {
			TurnTokens turn = this.turns.get(run);
			return (turn != null && turn.open()) ? turn.tokens() : 0;
		}

	}

}
