package io.lentilslip.core.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Token usage of programs over all relays. A reservation counts with its maximum until
 * the turn is settled, so a relay that fails during a turn leaves the usage too high and
 * never too low. A conditional reservation counts from its position in the log, which all
 * relays read in the same order. The number of programs is bounded; the least recently
 * used ones are evicted. Used by one thread.
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
	 * @param request the turn
	 * @return the tokens
	 */
	long usedExcluding(String program, String request) {
		Account account = this.accounts.get(program);
		if (account == null) {
			return 0;
		}
		return account.spent + account.reserved - account.reservedBy(request);
	}

	/**
	 * Reserves the maximum tokens of a turn, unless it is reserved or settled already.
	 * @param program the program
	 * @param request the turn
	 * @param maxTokens the maximum tokens
	 */
	void reserve(String program, String request, int maxTokens) {
		Account account = account(program);
		if (account.turns.putIfAbsent(request, new TurnTokens(maxTokens, true)) == null) {
			account.reserved += maxTokens;
		}
	}

	/**
	 * Returns whether a turn is reserved and not settled.
	 * @param program the program
	 * @param request the turn
	 * @return whether it is
	 */
	boolean isOpen(String program, String request) {
		Account account = this.accounts.get(program);
		return account != null && account.turns.containsKey(request) && account.turns.get(request).open();
	}

	void settle(String program, String request, int tokens) {
		Account account = account(program);
		TurnTokens before = account.turns.get(request);
		if (before != null && !before.open()) {
			return;
		}
		account.turns.put(request, new TurnTokens(tokens, false));
		account.reserved -= (before != null) ? before.tokens() : 0;
		account.spent += tokens;
	}

	/**
	 * Applies the usage of a program that was written again.
	 * @param renewed the usage
	 */
	void apply(LedgerEntry.UsageRenewed renewed) {
		renewed.turns().forEach((request, turn) -> {
			if (turn.open()) {
				reserve(renewed.program(), request, turn.tokens());
			}
			else {
				settle(renewed.program(), request, turn.tokens());
			}
		});
	}

	/**
	 * Returns the turns of a program.
	 * @param program the program
	 * @return the tokens by request
	 */
	Map<String, TurnTokens> turns(String program) {
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

		private final Map<String, TurnTokens> turns = new HashMap<>();

		private long spent;

		private long reserved;

		int reservedBy(String request) {
			TurnTokens turn = this.turns.get(request);
			return (turn != null && turn.open()) ? turn.tokens() : 0;
		}

	}

}
