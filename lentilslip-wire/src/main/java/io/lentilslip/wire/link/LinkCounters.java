package io.lentilslip.wire.link;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of what happened on the links of one server or client. Numbers only grow. Safe
 * for use by several threads.
 */
public final class LinkCounters {

	private final Map<LinkClosure, LongAdder> closed = new EnumMap<>(LinkClosure.class);

	private final Map<LinkClosure, LongAdder> refused = new EnumMap<>(LinkClosure.class);

	private final LongAdder unread = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder sentBytes = new LongAdder();

	/**
	 * Creates counts that are all zero.
	 */
	LinkCounters() {
		for (LinkClosure reason : LinkClosure.values()) {
			this.closed.put(reason, new LongAdder());
			this.refused.put(reason, new LongAdder());
		}
	}

	/**
	 * Returns how many open links ended for a reason.
	 * @param reason the reason
	 * @return the number of links
	 */
	public long closed(LinkClosure reason) {
		return this.closed.get(reason).sum();
	}

	/**
	 * Returns how many connections ended for a reason before they became links.
	 * @param reason the reason
	 * @return the number of connections
	 */
	public long refused(LinkClosure reason) {
		return this.refused.get(reason).sum();
	}

	/**
	 * Returns how many messages of unknown kinds arrived.
	 * @return the number of messages
	 */
	public long unread() {
		return this.unread.sum();
	}

	/**
	 * Returns how many bytes arrived in messages, without their frames.
	 * @return the number of bytes
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Returns how many bytes of messages were accepted for sending, without their frames.
	 * @return the number of bytes
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	void countClosed(LinkClosure reason) {
		this.closed.get(reason).increment();
	}

	void countRefused(LinkClosure reason) {
		this.refused.get(reason).increment();
	}

	void countUnread() {
		this.unread.increment();
	}

	void countReceived(int bytes) {
		this.receivedBytes.add(bytes);
	}

	void countSent(int bytes) {
		this.sentBytes.add(bytes);
	}

}
