package io.lentilslip.core.share;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.identity.ProgramId;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Immutable accounts of the service attained by programs. Holds a bounded number of
 * accounts and evicts the least recently used; a program whose account was evicted is
 * treated like a new one. Thread-safe.
 */
final class ProgramAccounts {

	private final int capacity;

	private final long lastUse;

	private final Map<ProgramId, Account> accounts;

	private final SortedMap<Long, ProgramId> byLastUse;

	private ProgramAccounts(int capacity, long lastUse, Map<ProgramId, Account> accounts,
			SortedMap<Long, ProgramId> byLastUse) {
		this.capacity = capacity;
		this.lastUse = lastUse;
		this.accounts = accounts;
		this.byLastUse = byLastUse;
	}

	/**
	 * Returns empty accounts.
	 * @param capacity the maximum number of accounts
	 * @return empty accounts
	 */
	static ProgramAccounts withCapacity(int capacity) {
		return new ProgramAccounts(capacity, 0, HashMap.empty(), TreeMap.empty());
	}

	/**
	 * Returns these accounts with another capacity.
	 * @param changed the maximum number of accounts
	 * @return the accounts that remain
	 */
	ProgramAccounts resizedTo(int changed) {
		return new ProgramAccounts(changed, this.lastUse, this.accounts, this.byLastUse).evictOldest();
	}

	/**
	 * Returns the account of a program.
	 * @param program the program
	 * @return the account, or an empty result if the program has none
	 */
	Optional<Account> find(ProgramId program) {
		return this.accounts.get(program).toJavaOptional();
	}

	/**
	 * Returns the accounts after charging the estimated cost of a queued call.
	 * @param program the program of the call
	 * @param arrived when the call arrived
	 * @param cost the estimated cost
	 * @return the accounts, with one for the program
	 */
	ProgramAccounts reserve(ProgramId program, Instant arrived, long cost) {
		Account account = find(program).orElseGet(() -> new Account(arrived, 0, 0));
		return replaced(program, account, cost).evictOldest();
	}

	/**
	 * Returns the accounts after adjusting the service of a program. Programs without an
	 * account are ignored, so that a late charge does not recreate the account of a
	 * program that has ended.
	 * @param program the program
	 * @param cost the cost to add, negative for a refund
	 * @return the accounts
	 */
	ProgramAccounts charged(ProgramId program, long cost) {
		return find(program).map((account) -> replaced(program, account, cost)).orElse(this);
	}

	/**
	 * Returns the accounts without that of a program.
	 * @param program the program
	 * @return the other accounts
	 */
	ProgramAccounts without(ProgramId program) {
		return find(program).map((account) -> remove(program, account)).orElse(this);
	}

	/**
	 * Returns the number of accounts.
	 * @return the number of accounts
	 */
	int size() {
		return this.accounts.size();
	}

	private ProgramAccounts replaced(ProgramId program, Account account, long cost) {
		long use = this.lastUse + 1;
		Account changed = new Account(account.arrived(), Math.max(0, account.attained() + cost), use);
		return new ProgramAccounts(this.capacity, use, this.accounts.put(program, changed),
				this.byLastUse.remove(account.lastUse()).put(use, program));
	}

	private ProgramAccounts remove(ProgramId program, Account account) {
		return new ProgramAccounts(this.capacity, this.lastUse, this.accounts.remove(program),
				this.byLastUse.remove(account.lastUse()));
	}

	private ProgramAccounts evictOldest() {
		ProgramAccounts remaining = this;
		while (remaining.size() > this.capacity) {
			remaining = remaining.without(remaining.byLastUse.head()._2());
		}
		return remaining;
	}

	/**
	 * Immutable account of one program. Thread-safe.
	 *
	 * @param arrived when its first call arrived
	 * @param attained the service it received, including the estimates of waiting and
	 * running calls
	 * @param lastUse the sequence number of the last use of this account
	 */
	record Account(Instant arrived, long attained, long lastUse) {

	}

}
