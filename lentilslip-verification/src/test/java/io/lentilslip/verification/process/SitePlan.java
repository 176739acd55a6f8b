package io.lentilslip.verification.process;

import java.time.Duration;

import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineTiming;

/**
 * What stands in a site. Immutable.
 *
 * @param entries the number of entries
 * @param engines the number of engines, each with a sidecar
 * @param services the number of plain services, each with a sidecar
 * @param engine the settings of each engine
 */
public record SitePlan(int entries, int engines, int services, EngineSettings engine) {

	private static final Duration DOWNTIME = Duration.ofMillis(300);

	/**
	 * Returns a plan with engines that take a few milliseconds for a token, so that a
	 * fault can be brought about in the middle of an answer.
	 * @param entries the number of entries
	 * @param engines the number of engines
	 * @param services the number of plain services
	 * @return the plan
	 */
	public static SitePlan of(int entries, int engines, int services) {
		EngineTiming timing = EngineTiming.asFastAsPossible().withScale(1);
		return new SitePlan(entries, engines, services,
				EngineSettings.serving(Site.MODEL).withTiming(timing).withCrashes(DOWNTIME));
	}

}
