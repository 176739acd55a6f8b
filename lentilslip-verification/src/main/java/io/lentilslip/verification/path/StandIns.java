package io.lentilslip.verification.path;

import java.time.Duration;

import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.engine.EngineTiming;
import io.lentilslip.standin.log.LogLimits;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.vmlist.VmListStandIn;

/**
 * The outside systems of a benchmark, as fast as they can be. Not safe for use by several
 * threads.
 */
final class StandIns implements AutoCloseable {

	private final LogServiceStandIn log;

	private final VmListStandIn vmList;

	private final EngineStandIn engine;

	private StandIns(BenchmarkSite site) {
		this.log = LogServiceStandIn.start(site.logPort(), LogLimits.defaults(), System::nanoTime);
		this.vmList = VmListStandIn.start(site.vmListPort(), System::nanoTime);
		this.engine = EngineStandIn.start(EngineSettings.serving(BenchmarkSite.MODEL)
			.withPort(site.enginePort())
			.withTiming(EngineTiming.asFastAsPossible()));
	}

	/**
	 * Runs the stand-ins for a limited time.
	 * @param site where they listen
	 * @param time how long they run
	 * @throws InterruptedException if the thread is interrupted
	 */
	static void runFor(BenchmarkSite site, Duration time) throws InterruptedException {
		try (StandIns standIns = new StandIns(site)) {
			Thread.sleep(time);
		}
	}

	@Override
	public void close() {
		this.engine.close();
		this.vmList.close();
		this.log.close();
	}

}
