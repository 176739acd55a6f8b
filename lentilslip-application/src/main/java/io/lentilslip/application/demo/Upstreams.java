package io.lentilslip.application.demo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilslip.client.engine.Engine;
import io.lentilslip.client.engine.EngineOrder;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.standin.engine.EngineLimits;
import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.engine.EngineTiming;
import io.lentilslip.standin.engine.FencingPolicy;
import io.lentilslip.standin.tool.ToolServiceStandIn;

/**
 * The stand-ins of a site's upstreams. Started by one thread; what it tells may be asked
 * by several.
 */
final class Upstreams implements AutoCloseable {

	private static final String MODEL_VERSION = "1";

	private static final long FIRST_FENCING = 1;

	private final List<EngineStandIn> engines = new ArrayList<>();

	private final List<ToolServiceStandIn> tools = new ArrayList<>();

	/**
	 * Starts the stand-in of an upstream.
	 * @param policy what the configuration says of the upstream
	 * @return where it listens
	 * @throws DemoException if it does not take an order
	 */
	Endpoint start(UpstreamPolicy policy) throws DemoException {
		return switch (policy.kind()) {
			case UpstreamKind.ForService service -> startTool();
			case UpstreamKind.ForEngine engine -> startEngine(engine);
		};
	}

	private Endpoint startTool() {
		ToolServiceStandIn tool = ToolServiceStandIn.start();
		this.tools.add(tool);
		return Loopback.endpoint(tool.address());
	}

	private Endpoint startEngine(UpstreamKind.ForEngine kind) throws DemoException {
		Deque<ModelName> models = new ArrayDeque<>(kind.models());
		EngineSettings settings = EngineSettings.serving(models.removeFirst().value())
			.withTiming(EngineTiming.asFastAsPossible().withScale(1))
			.withFencing(kind.checksFencingNumbers() ? FencingPolicy.CHECKED : FencingPolicy.IGNORED)
			.withLimits(EngineLimits.small().withMemoryTokens(Math.toIntExact(kind.kvTokens())));
		EngineStandIn engine = EngineStandIn.start(settings);
		this.engines.add(engine);
		Endpoint address = Loopback.endpoint(engine.address());
		load(address, models);
		return address;
	}

	private static void load(Endpoint address, Deque<ModelName> models) throws DemoException {
		try (Engine client = new Engine.ForHttp(address, HttpLimits.defaults())) {
			for (ModelName model : models) {
				EngineOrder.Outcome outcome = client.order(new EngineOrder.Load(model, MODEL_VERSION), FIRST_FENCING)
					.toCompletableFuture()
					.join();
				if (!(outcome instanceof EngineOrder.Outcome.Applied)) {
					throw new DemoException("an engine did not load " + model + ": " + outcome);
				}
			}
		}
	}

	/**
	 * Returns how often each call of a plain service ran, over all upstreams.
	 * @return the number of runs by the calls' keys
	 */
	Map<String, Integer> toolRuns() {
		Map<String, Integer> runs = new HashMap<>();
		for (ToolServiceStandIn tool : this.tools) {
			tool.runs().forEach((key, count) -> runs.merge(key, count, Integer::sum));
		}
		return runs;
	}

	/**
	 * Returns the tokens of engine memory that are held now.
	 * @return the tokens of all engines
	 */
	int heldTokens() {
		return this.engines.stream().mapToInt(EngineStandIn::heldTokens).sum();
	}

	@Override
	public void close() {
		this.engines.forEach(EngineStandIn::close);
		this.tools.forEach(ToolServiceStandIn::close);
	}

}
