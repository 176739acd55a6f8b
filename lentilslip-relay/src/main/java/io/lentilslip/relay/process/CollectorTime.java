package io.lentilslip.relay.process;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;

/**
 * Measures the time of garbage collections. The management classes are loaded on first
 * use, since they would lengthen each start. Used by one thread.
 */
final class CollectorTime {

	private List<GarbageCollectorMXBean> collectors = List.of();

	private long totalMillis;

	/**
	 * Returns the time of collections since the last call, or since the process started.
	 * @return the time
	 */
	Duration takeElapsed() {
		if (this.collectors.isEmpty()) {
			this.collectors = ManagementFactory.getGarbageCollectorMXBeans();
		}
		long previous = this.totalMillis;
		this.totalMillis = this.collectors.stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
		return Duration.ofMillis(this.totalMillis - previous);
	}

}
