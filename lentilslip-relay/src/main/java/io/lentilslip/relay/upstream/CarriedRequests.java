package io.lentilslip.relay.upstream;

import java.util.Arrays;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;

/**
 * The requests that a connection has carried. An id that was added is never forgotten;
 * ids are kept as hash codes, so another one may be found by mistake. Used by the event
 * loop's thread.
 */
final class CarriedRequests {

	/**
	 * The maximum number of requests on a connection, which bounds the memory.
	 */
	private static final int MAX_REQUESTS = 1024;

	private int[] hashes = new int[8];

	private int count;

	private boolean head;

	private Optional<String> last = Optional.empty();

	void add(String id, HttpMethod method) {
		this.head = method.equals(HttpMethod.HEAD);
		if (this.count == this.hashes.length) {
			this.hashes = Arrays.copyOf(this.hashes, 2 * this.count);
		}
		this.hashes[this.count] = id.hashCode();
		this.count++;
		this.last = Optional.of(id);
	}

	/**
	 * Returns whether a late response to any of the requests can be told from the
	 * response to another one: by its id, and by where it ends, since a response to HEAD
	 * has no body.
	 * @param id the id of the other request
	 * @param method the method of the other request
	 * @return whether it can be told
	 */
	boolean isDistinctFrom(String id, HttpMethod method) {
		return !contains(id) && (this.count == 0 || this.head == method.equals(HttpMethod.HEAD));
	}

	boolean isFull() {
		return this.count >= MAX_REQUESTS;
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
