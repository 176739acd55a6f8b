package io.lentilslip.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * The configuration of the model: two groups, two engines, two upstreams of a service.
 */
final class Site {

	static final ZoneName ZONE = new ZoneName("north");

	static final ModelName MODEL = new ModelName("m");

	static final ServiceName SERVICE = new ServiceName("pings");

	static final GroupName SELLERS = new GroupName("sellers");

	static final GroupName BUYERS = new GroupName("buyers");

	static final Digest SELLERS_KEY = Digest.of("sellers key");

	static final Digest BUYERS_KEY = Digest.of("buyers key");

	static final List<VmName> SIDECARS = List.of(new VmName("engine-0"), new VmName("engine-1"),
			new VmName("service-0"), new VmName("service-1"));

	static final Configuration CONFIGURATION = Configuration.ofSite(new PolicyName("site"))
		.with(ZONE)
		.with(GroupPolicy.withShare(SELLERS, 1))
		.with(GroupPolicy.withShare(BUYERS, 1))
		.with(new CallerPolicy(new PolicyName("desk"), SELLERS, SELLERS_KEY))
		.with(new CallerPolicy(new PolicyName("site"), BUYERS, BUYERS_KEY))
		.with(new ModelPolicy(MODEL, 100_000, 1000, TokenCost.DEFAULT))
		.with(new ServicePolicy(SERVICE, List.of(), Duration.ofSeconds(5)))
		.with(upstream(0, new UpstreamKind.ForEngine(Set.of(MODEL), true, 1000)))
		.with(upstream(1, new UpstreamKind.ForEngine(Set.of(MODEL), false, 1000)))
		.with(upstream(2, new UpstreamKind.ForService(Set.of(SERVICE))))
		.with(upstream(3, new UpstreamKind.ForService(Set.of(SERVICE))))
		.build();

	private Site() {
	}

	private static UpstreamPolicy upstream(int index, UpstreamKind kind) {
		return new UpstreamPolicy(SIDECARS.get(index), ZONE, new Endpoint("10.0.0." + (1 + index), 1),
				new Endpoint("127.0.0.1", 2), kind, 2);
	}

}
