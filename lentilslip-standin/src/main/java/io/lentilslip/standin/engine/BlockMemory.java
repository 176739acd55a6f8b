package io.lentilslip.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An engine's KV memory: blocks found by their hash, the least recently used evicted
 * first. Invariants: blocks in memory never exceed its capacity; a block that an
 * allocation refers to is not evicted; where a block is referred to, so are all before it
 * in its chain, and of blocks without references a later one of a chain is evicted before
 * an earlier one. So a chain's cached part is always its beginning. Not safe for use by
 * several threads.
 */
final class BlockMemory {

	private final int capacity;

	private final Listener listener;

	private final Map<Long, Block> cached = new HashMap<>();

	private final Map<Long, Block> evictable = new LinkedHashMap<>();

	private int reserved;

	/**
	 * Creates a memory without blocks.
	 * @param capacity the most blocks in memory
	 * @param listener what is told of blocks that come and go
	 */
	BlockMemory(int capacity, Listener listener) {
		this.capacity = capacity;
		this.listener = listener;
	}

	/**
	 * Allocates the blocks of a whole sequence at once, so that a sequence once admitted
	 * never waits for memory.
	 * @param chain the blocks known so far, which are shared where they are cached
	 * @param blocks the number of all blocks that the sequence will ever have
	 * @return the allocation, or empty if there is not enough memory now
	 */
	Optional<Allocation> allocate(BlockChain chain, int blocks) {
		List<Block> shared = cachedBeginning(chain);
		int needed = blocks - shared.size();
		long evictableShared = shared.stream().filter((block) -> block.references == 0).count();
		if (needed > free() + this.evictable.size() - evictableShared) {
			return Optional.empty();
		}
		shared.forEach(this::refer);
		while (free() < needed) {
			evictOldest();
		}
		this.reserved += needed;
		return Optional.of(new Allocation(shared, needed));
	}

	private List<Block> cachedBeginning(BlockChain chain) {
		List<Block> found = new ArrayList<>();
		for (int i = 0; i < chain.fullBlocks(); i++) {
			Block block = this.cached.get(chain.hash(i));
			if (block == null) {
				return found;
			}
			found.add(block);
		}
		return found;
	}

	/**
	 * Makes the computed blocks of an allocation known by their hashes, so that others
	 * find them.
	 * @param allocation the allocation
	 * @param chain the blocks computed so far
	 */
	void publish(Allocation allocation, BlockChain chain) {
		for (int i = allocation.shared.size(); i < chain.fullBlocks(); i++) {
			long parent = (i == 0) ? 0 : chain.hash(i - 1);
			allocation.shared.add(publishBlock(chain.hash(i), parent, i));
			allocation.reserved--;
			this.reserved--;
		}
	}

	private Block publishBlock(long hash, long parent, int position) {
		Block block = this.cached.get(hash);
		if (block == null) {
			block = new Block(hash);
			this.cached.put(hash, block);
			this.listener.stored(hash, parent, position);
		}
		refer(block);
		return block;
	}

	/**
	 * Gives back the blocks that an allocation reserved and did not need.
	 * @param allocation the allocation
	 * @param needed the number of reserved blocks to keep
	 */
	void shrink(Allocation allocation, int needed) {
		int surplus = Math.max(0, allocation.reserved - needed);
		allocation.reserved -= surplus;
		this.reserved -= surplus;
	}

	/**
	 * Ends an allocation. Its known blocks stay cached until they are evicted.
	 * @param allocation the allocation
	 */
	void release(Allocation allocation) {
		shrink(allocation, 0);
		for (Block block : allocation.shared.reversed()) {
			block.references--;
			if (block.references == 0) {
				this.evictable.put(block.hash, block);
			}
		}
		allocation.shared.clear();
	}

	private void refer(Block block) {
		this.evictable.remove(block.hash);
		block.references++;
	}

	private void evictOldest() {
		long hash = this.evictable.keySet().iterator().next();
		this.evictable.remove(hash);
		this.cached.remove(hash);
		this.listener.evicted(hash);
	}

	private int free() {
		return this.capacity - this.cached.size() - this.reserved;
	}

	/**
	 * Returns the number of blocks that allocations hold.
	 * @return the number of blocks that cannot be evicted now
	 */
	int heldBlocks() {
		return this.cached.size() - this.evictable.size() + this.reserved;
	}

	/**
	 * Returns the number of blocks that are cached and held by no allocation.
	 * @return the number of blocks that may be evicted
	 */
	int evictableBlocks() {
		return this.evictable.size();
	}

	/**
	 * What is told of blocks that come and go, on the thread that uses the memory.
	 */
	interface Listener {

		/**
		 * A block can be found by its hash from now on.
		 * @param hash the block's hash
		 * @param parent the hash of the block before it, or 0 for the first
		 * @param position the block's number in its chain from 0
		 */
		void stored(long hash, long parent, int position);

		/**
		 * A block is gone.
		 * @param hash the block's hash
		 */
		void evicted(long hash);

		/**
		 * Returns a listener that forgets what it is told.
		 * @return a listener
		 */
		static Listener noOp() {
			return new NoOp();
		}

		/**
		 * A listener that forgets what it is told. Without state, safe for use by several
		 * threads.
		 */
		final class NoOp implements Listener {

			@Override
			public void stored(long hash, long parent, int position) {
			}

			@Override
			public void evicted(long hash) {
			}

		}

	}

	/**
	 * The blocks that one sequence or pinned session holds. Owned by its memory.
	 */
	static final class Allocation {

		private final List<Block> shared;

		private int reserved;

		private Allocation(List<Block> shared, int reserved) {
			this.shared = shared;
			this.reserved = reserved;
		}

		/**
		 * Returns the number of blocks that are known by their hashes.
		 * @return the number of blocks
		 */
		int sharedBlocks() {
			return this.shared.size();
		}

	}

	private static final class Block {

		private final long hash;

		private int references;

		private Block(long hash) {
			this.hash = hash;
		}

	}

}
