package io.lentilslip.core.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tokens that programs have been given, over all relays. A reservation counts at its
 * most until its turn is settled, so that a relay that dies in the middle of a turn can
 * only make a budget look smaller. A reservation that contends counts from its place in
 * the log on: of several that were made at once, all relays see the same one first. The
 * number of programs is bounded: the ones untouched for longest are forgotten. Used by
 * one thread.
 */
final class ProgramTokens {

	private final int maxPrograms;

	private final LinkedHashMap<String, Account> accounts = new LinkedHashMap<>(64, 0.75f, true);

	ProgramTokens(int bound) {
		this.maxPrograms = bound;
	}

	/**
	 * Returns what is spent or held back of a program's budget.
	 * @param program the program
	 * @return the tokens
	 */
	long used(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? account.spent + account.reserved : 0;
	}

	/**
	 * Returns what a program has been given for sure: turns that may still run or end
	 * don't count, so it only ever grows.
	 * @param program the program
	 * @return the tokens
	 */
	long spent(String program) {
		Account account = this.accounts.get(program);
		return (account != null) ? account.spent : 0;
	}

	/**
	 * Returns what is spent or held back of a program's budget, but for one turn.
	 * @param program the program
	 * @param request the turn
	 * @return the tokens
	 */
	long usedExcluding(String program, String request) {
		Account account = this.accounts.get(program);
		if (account == null) {
			return 0;
		}
		return account.spent + account.reserved - Math.max(0, account.turns.getOrDefault(request, 0));
	}

	/**
	 * Holds back the most tokens of a turn, unless it is known already.
	 * @param program the program
	 * @param request the turn
	 * @param tokens the most tokens
	 */
	void reserve(String program, String request, int tokens) {
		Account account = account(program);
		if (account.turns.putIfAbsent(request, tokens) == null) {
			account.reserved += tokens;
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
		return account != null && account.turns.getOrDefault(request, Account.SETTLED) != Account.SETTLED;
	}

	void settle(String program, String request, int tokens) {
		Account account = account(program);
		Integer held = account.turns.put(request, Account.SETTLED);
		if (held != null && held == Account.SETTLED) {
			return;
		}
		account.reserved -= (held != null) ? held : 0;
		account.spent += tokens;
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
	 * What one program has taken. Used by one thread.
	 */
	private static final class Account {

		private static final int SETTLED = -1;

		private final Map<String, Integer> turns = new HashMap<>();

		private long spent;

		private long reserved;

	}

}
