package io.lentilslip.core.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds what is kept of the streams in flight together: the texts of turns that are
 * stored at their end, and events that wait for the log. An upstream may send events
 * without end, and the largest stream then gives way. Used by one thread.
 */
final class KeptResponses {

	private final long limit;

	private final Map<Exchange, Long> sizes = new HashMap<>();

	private long total;

	KeptResponses(long limit) {
		this.limit = limit;
	}

	/**
	 * Updates what is kept of a stream.
	 * @param exchange the exchange of the stream
	 * @return the exchange that has to give way, or empty if the limit is not exceeded
	 */
	Optional<Exchange> update(Exchange exchange) {
		long size = exchange.keptBytes();
		this.total += size - this.sizes.getOrDefault(exchange, 0L);
		this.sizes.put(exchange, size);
		if (this.total <= this.limit) {
			return Optional.empty();
		}
		return this.sizes.keySet()
			.stream()
			.filter((kept) -> kept.phase() == Exchange.Phase.RUNNING)
			.max(Comparator.comparingLong(Exchange::keptBytes));
	}

	long total() {
		return this.total;
	}

	long limit() {
		return this.limit;
	}

	void remove(Exchange exchange) {
		Long size = this.sizes.remove(exchange);
		this.total -= (size != null) ? size : 0;
	}

}
