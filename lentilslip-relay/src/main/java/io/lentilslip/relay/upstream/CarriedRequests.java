package io.lentilslip.relay.upstream;

import java.util.Arrays;
import java.util.Optional;

/**
 * The ids of the requests that a connection has carried, as hash codes: an id that was
 * added is always found, another one may be found by mistake. Used by the event loop's
 * thread.
 */
final class CarriedRequests {

	private int[] hashes = new int[8];

	private int count;

	private Optional<String> last = Optional.empty();

	void add(String id) {
		if (this.count == this.hashes.length) {
			this.hashes = Arrays.copyOf(this.hashes, 2 * this.count);
		}
		this.hashes[this.count] = id.hashCode();
		this.count++;
		this.last = Optional.of(id);
	}

	boolean contains(String id) {
		int hash = id.hashCode();
		for (int i = 0; i < this.count; i++) {
			if (this.hashes[i] == hash) {
				return true;
			}
		}
		return false;
	}

	int count() {
		return this.count;
	}

	Optional<String> last() {
		return this.last;
	}

}
