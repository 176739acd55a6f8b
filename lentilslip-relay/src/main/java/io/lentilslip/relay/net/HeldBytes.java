package io.lentilslip.relay.net;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Budget of the memory that a process holds for callers: for what they have sent and for
 * responses that they have not read. What is received before it is passed on is held on
 * an account of its connection and may be evicted: if the budget is used up, the largest
 * accounts are evicted in favor of smaller ones, so that many costly requests don't keep
 * out an ordinary one. A request that is passed on is held until its response is
 * complete; large ones together take at most half of the budget, and responses that are
 * not complete three quarters, so that upstreams that don't end theirs keep out nobody. A
 * small response is always held. Used by the event loop's thread.
 */
public final class HeldBytes {

	/**
	 * The divisor of the limit that gives the size above which a request is large.
	 */
	private static final int LARGE_DIVISOR = 1024;

	/**
	 * The divisor of the limit that gives what large requests take together.
	 */
	private static final int LARGE_SHARE_DIVISOR = 2;

	/**
	 * The divisor of the limit that gives what responses that are not complete leave to
	 * requests.
	 */
	private static final int REQUEST_SHARE_DIVISOR = 4;

	private final long limit;

	/**
	 * The accounts by the bit length of their size, in the order in which they have
	 * reached it.
	 */
	private final List<Set<Account>> bySize = new ArrayList<>();

	private long held;

	private long heldByLargeRequests;

	private long heldByIncomplete;

	/**
	 * Creates an empty budget.
	 * @param limit the number of bytes from which on nothing more is accepted
	 */
	public HeldBytes(long limit) {
		this.limit = limit;
		for (int length = 0; length <= Long.SIZE; length++) {
			this.bySize.add(new LinkedHashSet<>());
		}
	}

	/**
	 * Opens an account, which is empty.
	 * @param eviction drops what is held on the account
	 * @return the account
	 */
	public Account open(Runnable eviction) {
		return new Account(eviction);
	}

	/**
	 * Holds bytes of a response that is not complete if the limit allows it, perhaps
	 * after accounts were evicted, and if such responses leave room for requests.
	 * @param bytes the number of bytes
	 * @return whether they are held
	 */
	public boolean tryHoldIncomplete(long bytes) {
		if (this.heldByIncomplete + bytes > this.limit - this.limit / REQUEST_SHARE_DIVISOR || !makeRoom(bytes, 0)) {
			return false;
		}
		holdIncomplete(bytes);
		return true;
	}

	/**
	 * Holds bytes of a response that is not complete.
	 * @param bytes the number of bytes
	 */
	public void holdIncomplete(long bytes) {
		this.held += bytes;
		this.heldByIncomplete += bytes;
	}

	/**
	 * Releases bytes of a response that was not complete.
	 * @param bytes the number of bytes
	 */
	public void releaseIncomplete(long bytes) {
		holdIncomplete(-bytes);
	}

	/**
	 * Holds the bytes of a request that is about to be passed on, if the limit allows it,
	 * perhaps after larger accounts were evicted.
	 * @param bytes the number of bytes
	 * @return whether they are held
	 */
	public boolean tryAccept(long bytes) {
		if (isLarge(bytes) && this.heldByLargeRequests + bytes > this.limit / LARGE_SHARE_DIVISOR) {
			return false;
		}
		if (!makeRoom(bytes, bytes)) {
			return false;
		}
		this.held += bytes;
		this.heldByLargeRequests += isLarge(bytes) ? bytes : 0;
		return true;
	}

	/**
	 * Releases the bytes of a request that was accepted.
	 * @param bytes the number of bytes, as accepted
	 */
	public void releaseAccepted(long bytes) {
		this.held -= bytes;
		this.heldByLargeRequests -= isLarge(bytes) ? bytes : 0;
	}

	private boolean isLarge(long bytes) {
		return bytes > this.limit / LARGE_DIVISOR;
	}

	/**
	 * Holds bytes of a response.
	 * @param bytes the number of bytes
	 */
	public void hold(long bytes) {
		this.held += bytes;
	}

	/**
	 * Releases bytes that were held.
	 * @param bytes the number of bytes
	 */
	public void release(long bytes) {
		this.held -= bytes;
	}

	/**
	 * Returns the number of held bytes.
	 * @return the number
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Returns the limit.
	 * @return the number of bytes
	 */
	public long limit() {
		return this.limit;
	}

	/**
	 * Evicts accounts until there is room.
	 * @param bytes the number of bytes that are needed
	 * @param evictedAbove the size above which an account is evicted
	 * @return whether there is room
	 */
	private boolean makeRoom(long bytes, long evictedAbove) {
		while (this.held + bytes > this.limit) {
			Optional<Account> largest = largest().filter((account) -> account.size > evictedAbove);
			if (largest.isEmpty()) {
				return false;
			}
			largest.get().evict();
		}
		return true;
	}

	private Optional<Account> largest() {
		for (Set<Account> accounts : this.bySize.reversed()) {
			if (!accounts.isEmpty()) {
				return Optional.of(accounts.iterator().next());
			}
		}
		return Optional.empty();
	}

	private static int sizeClass(long size) {
		return Long.SIZE - Long.numberOfLeadingZeros(size);
	}

	/**
	 * What is held for one connection and may be evicted. Used by the event loop's
	 * thread.
	 */
	public final class Account {

		private final Runnable eviction;

		private long size;

		private Account(Runnable eviction) {
			this.eviction = eviction;
		}

		/**
		 * Changes the size of the account. More bytes are held only if the limit allows
		 * it, perhaps after larger accounts were evicted.
		 * @param bytes the new size
		 * @return whether the account has the size
		 */
		public boolean tryResize(long bytes) {
			if (bytes > this.size && !makeRoom(bytes - this.size, bytes)) {
				return false;
			}
			resize(bytes);
			return true;
		}

		/**
		 * Changes the size of the account to what is already held. If the limit is
		 * exceeded, the largest accounts are evicted, this one too if it is the largest.
		 * @param bytes the new size
		 */
		public void hold(long bytes) {
			boolean grows = bytes > this.size;
			resize(bytes);
			if (grows) {
				makeRoom(0, 0);
			}
		}

		/**
		 * Returns the size of the account.
		 * @return the number of bytes
		 */
		public long size() {
			return this.size;
		}

		/**
		 * Releases what is held on the account.
		 */
		public void clear() {
			resize(0);
		}

		private void resize(long bytes) {
			HeldBytes.this.held += bytes - this.size;
			int before = sizeClass(this.size);
			int after = sizeClass(bytes);
			this.size = bytes;
			if (before == after) {
				return;
			}
			HeldBytes.this.bySize.get(before).remove(this);
			if (bytes > 0) {
				HeldBytes.this.bySize.get(after).add(this);
			}
		}

		private void evict() {
			this.eviction.run();
			clear();
		}

	}

}
