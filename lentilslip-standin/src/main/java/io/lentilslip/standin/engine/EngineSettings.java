package io.lentilslip.standin.engine;

import java.time.Duration;
import java.util.Optional;

/**
 * What an engine stand-in is told at its start. Immutable and safe for use by several
 * threads.
 *
 * @param port the port on 127.0.0.1; 0 takes a free one
 * @param model the model loaded at the start
 * @param limits its bounds
 * @param timing how long its work takes
 * @param fencing what it does with fencing numbers
 * @param reports how late and how whole its reports are
 * @param crashDowntime how long it is gone after a request marked to crash it; empty to
 * take such a request for an ordinary one
 * @param kept how long a request can be resumed after its end
 */
public record EngineSettings(int port, String model, EngineLimits limits, EngineTiming timing, FencingPolicy fencing,
		Reports reports, Optional<Duration> crashDowntime, Duration kept) {

	/**
	 * Returns the settings of a small engine that takes no real time.
	 * @param model the model loaded at the start
	 * @return settings with exact reports, fencing numbers checked and no crashes
	 */
	public static EngineSettings serving(String model) {
		return new EngineSettings(0, model, EngineLimits.small(), EngineTiming.asFastAsPossible(),
				FencingPolicy.CHECKED, Reports.exact(), Optional.empty(), Duration.ofSeconds(60));
	}

	/**
	 * Returns these settings with another port.
	 * @param number the port on 127.0.0.1
	 * @return the settings
	 */
	public EngineSettings withPort(int number) {
		return new EngineSettings(number, this.model, this.limits, this.timing, this.fencing, this.reports,
				this.crashDowntime, this.kept);
	}

	/**
	 * Returns these settings with other bounds.
	 * @param bounds the engine's bounds
	 * @return the settings
	 */
	public EngineSettings withLimits(EngineLimits bounds) {
		return new EngineSettings(this.port, this.model, bounds, this.timing, this.fencing, this.reports,
				this.crashDowntime, this.kept);
	}

	/**
	 * Returns these settings with another timing.
	 * @param work how long its work takes
	 * @return the settings
	 */
	public EngineSettings withTiming(EngineTiming work) {
		return new EngineSettings(this.port, this.model, this.limits, work, this.fencing, this.reports,
				this.crashDowntime, this.kept);
	}

	/**
	 * Returns these settings with another treatment of fencing numbers.
	 * @param policy what the engine does with fencing numbers
	 * @return the settings
	 */
	public EngineSettings withFencing(FencingPolicy policy) {
		return new EngineSettings(this.port, this.model, this.limits, this.timing, policy, this.reports,
				this.crashDowntime, this.kept);
	}

	/**
	 * Returns these settings with other reports.
	 * @param faults how late and how whole the reports are
	 * @return the settings
	 */
	public EngineSettings withReports(Reports faults) {
		return new EngineSettings(this.port, this.model, this.limits, this.timing, this.fencing, faults,
				this.crashDowntime, this.kept);
	}

	/**
	 * Returns these settings with requests that crash the engine.
	 * @param downtime how long it is gone after a crash
	 * @return the settings
	 */
	public EngineSettings withCrashes(Duration downtime) {
		return new EngineSettings(this.port, this.model, this.limits, this.timing, this.fencing, this.reports,
				Optional.of(downtime), this.kept);
	}

	/**
	 * Returns these settings with another time for which requests can be resumed.
	 * @param afterEnd how long a request can be resumed after its end
	 * @return the settings
	 */
	public EngineSettings withKept(Duration afterEnd) {
		return new EngineSettings(this.port, this.model, this.limits, this.timing, this.fencing, this.reports,
				this.crashDowntime, afterEnd);
	}

	/**
	 * How late and how whole an engine's reports are.
	 *
	 * @param loadLag how long after its measurement a load report is shown
	 * @param cacheEventLag how long after its time a cache event is shown
	 * @param loseCacheEventEvery the cache events of which one is lost; 0 loses none
	 */
	public record Reports(Duration loadLag, Duration cacheEventLag, int loseCacheEventEvery) {

		/**
		 * Returns reports that are neither late nor have gaps.
		 * @return exact reports
		 */
		public static Reports exact() {
			return new Reports(Duration.ZERO, Duration.ZERO, 0);
		}

	}

}
