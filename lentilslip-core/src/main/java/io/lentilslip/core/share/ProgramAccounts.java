package io.lentilslip.core.share;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.identity.ProgramId;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * The service that programs attained. Holds at most a bound of programs: when one more
 * comes, the one that was used the longest ago is forgotten, which costs it no more than
 * being treated like a new program. Immutable and safe for use by several threads.
 */
final class ProgramAccounts {

	private final int capacity;

	private final long lastUse;

	private final Map<ProgramId, Account> accounts;

	private final SortedMap<Long, ProgramId> byLastUse;

	private ProgramAccounts(int bound, long uses, Map<ProgramId, Account> accounts,
			SortedMap<Long, ProgramId> byLastUse) {
		this.capacity = bound;
		this.lastUse = uses;
		this.accounts = accounts;
		this.byLastUse = byLastUse;
	}

	/**
	 * Returns accounts of no program.
	 * @param capacity the most programs to hold
	 * @return empty accounts
	 */
	static ProgramAccounts withCapacity(int bound) {
		return new ProgramAccounts(bound, 0, HashMap.empty(), TreeMap.empty());
	}

	/**
	 * Returns these accounts with another bound.
	 * @param changed the most programs to hold
	 * @return accounts that keep the bound
	 */
	ProgramAccounts resizedTo(int changed) {
		return new ProgramAccounts(changed, this.lastUse, this.accounts, this.byLastUse).evictOldest();
	}

	/**
	 * Returns the account of a program.
	 * @param program the program
	 * @return the account, or an empty result if the program is not known
	 */
	Optional<Account> find(ProgramId program) {
		return this.accounts.get(program).toJavaOptional();
	}

	/**
	 * Returns the accounts after a call was promised service.
	 * @param program the program of the call
	 * @param arrived when the call arrived
	 * @param cost the service promised
	 * @return the accounts, with that of the program opened if need be
	 */
	ProgramAccounts reserve(ProgramId program, Instant arrived, long cost) {
		Account account = find(program).orElseGet(() -> new Account(arrived, 0, 0));
		return replaced(program, account, cost).evictOldest();
	}

	/**
	 * Returns the accounts after a change of the service that a program got. The account
	 * of a program that is not known stays closed, so that a late charge does not bring
	 * back a program that has ended.
	 * @param program the program
	 * @param cost the service to add, negative to take some back
	 * @return the accounts
	 */
	ProgramAccounts charged(ProgramId program, long cost) {
		return find(program).map((account) -> replaced(program, account, cost)).orElse(this);
	}

	/**
	 * Returns the accounts without a program.
	 * @param program the program
	 * @return accounts without it
	 */
	ProgramAccounts without(ProgramId program) {
		return find(program).map((account) -> remove(program, account)).orElse(this);
	}

	/**
	 * Returns the number of programs held.
	 * @return the number of programs
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
		ProgramAccounts trimmed = this;
		while (trimmed.size() > this.capacity) {
			trimmed = trimmed.without(trimmed.byLastUse.head()._2());
		}
		return trimmed;
	}

	/**
	 * The account of one program. Immutable and safe for use by several threads.
	 *
	 * @param arrived when its first call arrived
	 * @param attained the service it got or was promised
	 * @param lastUse the number of the last use of this account
	 */
	record Account(Instant arrived, long attained, long lastUse) {

	}

}
