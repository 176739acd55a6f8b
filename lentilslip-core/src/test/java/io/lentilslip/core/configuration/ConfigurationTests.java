package io.lentilslip.core.configuration;

import java.util.Set;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ConfigurationTests {

	private static final GroupName SELLERS = new GroupName("sellers");

	private static final GroupName BUYERS = new GroupName("buyers");

	private static final CallerPolicy DESK = caller("desk", SELLERS, "desk key");

	private static final CallerPolicy SITE = caller("site", BUYERS, "site key");

	private static final ModelName MODEL = new ModelName("m");

	@Test
	void findsTheGroupOfAKey() {
		Configuration configuration = twoGroups().build();
		assertThat(configuration.groupOf(Digest.of("desk key"))).map(GroupPolicy::name).contains(SELLERS);
		assertThat(configuration.groupOf(Digest.of("another key"))).isEmpty();
		assertThat(configuration.totalShare()).isEqualTo(5);
	}

	@Test
	void selectsTheRuleWithTheLongestPrefixInTheGroup() {
		Configuration configuration = twoGroups().with(rule("all", SELLERS, "d", ServiceClass.INTERACTIVE))
			.with(rule("drafts", SELLERS, "draft-", ServiceClass.BACKGROUND))
			.with(rule("other", BUYERS, "draft-7", ServiceClass.INTERACTIVE))
			.build();
		assertThat(configuration.classOf(SELLERS, new ProgramName("draft-7"))).isEqualTo(ServiceClass.BACKGROUND);
		assertThat(configuration.ruleFor(SELLERS, new ProgramName("desk"))).map(ProgramRule::name)
			.contains(new PolicyName("all"));
		assertThat(configuration.classOf(SELLERS, new ProgramName("x"))).isEqualTo(ServiceClass.INTERACTIVE);
	}

	@Test
	void assignsProgramsToAnotherGroupOnlyForListedCallers() {
		Configuration configuration = twoGroups()
			.with(rule("offers", SELLERS, "offer-", ServiceClass.BACKGROUND, SITE.name()))
			.build();
		assertThat(configuration.groupFor(SITE, new ProgramName("offer-1"))).isEqualTo(SELLERS);
		assertThat(configuration.groupFor(SITE, new ProgramName("chat-1"))).isEqualTo(BUYERS);
		CallerPolicy unlisted = caller("kiosk", BUYERS, "kiosk key");
		assertThat(configuration.groupFor(unlisted, new ProgramName("offer-1"))).isEqualTo(BUYERS);
	}

	@Test
	void findsUpstreamsByModelAndService() {
		Configuration configuration = twoGroups().with(new ModelPolicy(MODEL, 100, 10, TokenCost.DEFAULT))
			.with(engine("vm-2"))
			.with(engine("vm-1"))
			.build();
		assertThat(configuration.upstreamsFor(MODEL)).extracting(UpstreamPolicy::vm)
			.containsExactly(new VmName("vm-1"), new VmName("vm-2"));
		assertThat(configuration.upstreamsFor(new ServiceName("none"))).isEmpty();
		assertThat(configuration.upstream(new VmName("vm-2"))).isPresent();
	}

	@Test
	void rejectsUnknownNamesAndSharedKeys() {
		assertThatIllegalArgumentException().isThrownBy(() -> twoGroups().with(engine("vm-1")).build())
			.withMessageContaining("unknown");
		assertThatIllegalArgumentException()
			.isThrownBy(() -> twoGroups().with(caller("copy", BUYERS, "desk key")).build())
			.withMessageContaining("key used twice");
		assertThatIllegalArgumentException()
			.isThrownBy(() -> twoGroups().with(GroupPolicy.withShare(SELLERS, 1)).build())
			.withMessageContaining("twice");
	}

	@Test
	void equalityIgnoresTheOrderOfItsParts() {
		Configuration other = Configuration.ofSite(new PolicyName("barca"))
			.with(SITE)
			.with(DESK)
			.with(GroupPolicy.withShare(BUYERS, 3))
			.with(GroupPolicy.withShare(SELLERS, 2))
			.with(new ZoneName("north"))
			.build();
		assertThat(other).isEqualTo(twoGroups().build()).hasSameHashCodeAs(twoGroups().build());
	}

	private static Configuration.Builder twoGroups() {
		return Configuration.ofSite(new PolicyName("barca"))
			.with(new ZoneName("north"))
			.with(GroupPolicy.withShare(SELLERS, 2))
			.with(GroupPolicy.withShare(BUYERS, 3))
			.with(DESK)
			.with(SITE);
	}

	private static CallerPolicy caller(String name, GroupName group, String key) {
		return new CallerPolicy(new PolicyName(name), group, Digest.of(key));
	}

	private static ProgramRule rule(String name, GroupName group, String prefix, ServiceClass serviceClass,
			PolicyName... callers) {
		return new ProgramRule(new PolicyName(name), group, prefix, serviceClass, Set.of(callers));
	}

	private static UpstreamPolicy engine(String vm) {
		return new UpstreamPolicy(new VmName(vm), new ZoneName("north"), new Endpoint("10.0.0.1", 1),
				new Endpoint("127.0.0.1", 2), new UpstreamKind.ForEngine(Set.of(MODEL), true, 1000), 4);
	}

}
