package io.lentilslip.application.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.lentilslip.core.configuration.Endpoint;

/**
 * The demonstration: programs of both groups of the example site run at once, and what
 * must hold is checked at the end. It is bounded in time. Used by one thread.
 */
public final class Demo implements AutoCloseable {

	private static final int BUYERS = 6;

	private static final int DRAFTS = 4;

	private static final Duration PROGRAM_TIME = Duration.ofSeconds(60);

	private static final Duration RELEASE_TIME = Duration.ofSeconds(10);

	private final DemoSite site;

	private final Progress progress;

	private Demo(DemoSite site, Progress progress) {
		this.site = site;
		this.progress = progress;
	}

	/**
	 * Starts the site.
	 * @param progress where steps are shown
	 * @return the demonstration, whose site takes calls
	 * @throws DemoException if the site does not start
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static Demo start(Progress progress) throws DemoException, InterruptedException {
		progress.show("site", "starting an entry, sidecars and stand-ins on free ports");
		DemoSite site = DemoSite.start();
		progress.show("site", "ready; callers connect to " + site.callers());
		return new Demo(site, progress);
	}

	/**
	 * Runs the programs.
	 * @return what was measured
	 * @throws DemoException if a program fails or something that must hold does not
	 * @throws InterruptedException if the thread is interrupted
	 */
	public DemoReport run() throws DemoException, InterruptedException {
		List<ProgramPlan> plans = plans();
		List<ProgramResult> results;
		try (Caller caller = new Caller(this.site.callers())) {
			results = runAll(plans, caller);
		}
		Deadline.in(RELEASE_TIME).await(() -> this.site.heldTokens() == 0);
		DemoReport report = DemoReport.of(this.site.configuration(), results, this.site.toolRuns(),
				this.site.heldTokens());
		check(plans, report);
		return report;
	}

	private static List<ProgramPlan> plans() {
		List<ProgramPlan> plans = new ArrayList<>();
		for (int number = 1; number <= BUYERS; number++) {
			plans.add(ProgramPlan.ofBuyer(number));
		}
		for (int number = 1; number <= DRAFTS; number++) {
			plans.add(ProgramPlan.ofDraft(number));
		}
		return plans;
	}

	private List<ProgramResult> runAll(List<ProgramPlan> plans, Caller caller)
			throws DemoException, InterruptedException {
		List<ProgramRun> runs = plans.stream().map((plan) -> new ProgramRun(plan, caller, this.progress)).toList();
		ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
		try {
			List<ProgramResult> results = new ArrayList<>();
			for (Future<ProgramResult> future : executor.invokeAll(runs, PROGRAM_TIME.toMillis(),
					TimeUnit.MILLISECONDS)) {
				results.add(result(future));
			}
			return results;
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static ProgramResult result(Future<ProgramResult> future) throws DemoException, InterruptedException {
		try {
			return future.get();
		}
		catch (CancellationException ex) {
			throw new DemoException("a program did not end within " + PROGRAM_TIME.toSeconds() + " s", ex);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof DemoException failure) {
				throw failure;
			}
			throw new DemoException("a program failed: " + ex.getCause(), ex.getCause());
		}
	}

	private static void check(List<ProgramPlan> plans, DemoReport report) throws DemoException {
		Map<String, Integer> once = plans.stream().collect(Collectors.toMap(ProgramPlan::toolKey, (plan) -> 1));
		if (!report.toolRuns().equals(once)) {
			throw new DemoException("calls that may not be repeated did not run exactly once: " + report.toolRuns());
		}
		if (report.heldTokens() != 0) {
			throw new DemoException(report.heldTokens() + " tokens of engine memory are held for programs that ended");
		}
	}

	/**
	 * Returns commands by which a user reaches the site.
	 * @return lines for a shell
	 */
	public List<String> commands() {
		String base = "http://" + this.site.callers() + "/v1/";
		String key = " -H 'Authorization: Bearer " + ProgramPlan.ofBuyer(0).key() + "'";
		String json = " -H 'Content-Type: application/json'";
		String sidecars = this.site.sidecarAdmins()
			.stream()
			.map(Endpoint::toString)
			.collect(Collectors.joining(" --sidecar ", " --sidecar ", ""));
		return List.of("curl " + base + "models" + key,
				"curl -N " + base + "chat/completions" + key + json + " -H 'Lentilslip-Program: mine'"
						+ " -d '{\"model\":\"barca-assistant\",\"stream\":true,\"max_tokens\":60,"
						+ "\"messages\":[{\"role\":\"user\",\"content\":\"Which boat?\"}]}'",
				"curl " + base + "programs/mine" + key, "curl -X DELETE " + base + "programs/mine" + key,
				"curl " + base + "services/prices/quotes/7" + key, "curl http://" + this.site.entryAdmin() + "/metrics",
				"lentilslip status --entry " + this.site.entryAdmin() + " --log " + this.site.log() + sidecars);
	}

	@Override
	public void close() {
		this.site.close();
	}

}
