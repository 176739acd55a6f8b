package io.lentilslip.standin.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The records of one stream within its retention. Offsets have no holes and are never
 * used twice, also after all records have passed retention. Not safe for use by several
 * threads.
 */
final class StoredStream {

	private static final long MAXIMUM_PAGE_BYTES = 4L * 1024 * 1024;

	private final Deque<StoredRecord> records = new ArrayDeque<>();

	private final LogLimits limits;

	private long next;

	private long bytes;

	StoredStream(LogLimits limits) {
		this.limits = limits;
	}

	long append(byte[] data, long time, long now) {
		long offset = this.next++;
		this.records.addLast(new StoredRecord(offset, time, data, now));
		this.bytes += data.length;
		expire(now);
		return offset;
	}

	long next() {
		return this.next;
	}

	Page read(long from, int limit, long now) {
		expire(now);
		List<StoredRecord> page = new ArrayList<>();
		long pageBytes = 0;
		for (StoredRecord stored : this.records) {
			if (stored.offset() < from) {
				continue;
			}
			pageBytes += stored.data().length;
			if (page.size() >= limit || (pageBytes > MAXIMUM_PAGE_BYTES && !page.isEmpty())) {
				break;
			}
			page.add(stored);
		}
		return new Page(this.next - this.records.size(), this.next, page);
	}

	private void expire(long now) {
		while (!this.records.isEmpty() && isPastRetention(this.records.getFirst(), now)) {
			this.bytes -= this.records.removeFirst().data().length;
		}
	}

	private boolean isPastRetention(StoredRecord oldest, long now) {
		if (now - oldest.storedAt() > this.limits.keptTime().toNanos()) {
			return true;
		}
		boolean tooMany = this.records.size() > this.limits.keptRecords();
		boolean tooLong = this.bytes > this.limits.keptBytes() && this.records.size() > 1;
		return tooMany || tooLong;
	}

}
