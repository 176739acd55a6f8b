package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.NodeEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompletionRulesTests {

	private static final Instant NOW = Instant.EPOCH.plusSeconds(60);

	private static final ZoneName ZONE = new ZoneName("hall");

	private static final GroupName GROUP = new GroupName("buyers");

	private static final ModelName MODEL = new ModelName("assistant");

	private static final Digest KEY = Digest.of("key");

	private static final ProcessId SIDECAR = new ProcessId(new VmName("runner-1"), new Incarnation(7));

	private final EntryReducer reducer = new EntryReducer();

	private EntryState state = EntryState.of(new ProcessId(new VmName("entry-1"), new Incarnation(9)), ZONE);

	// Answered calls must not leave deadline timers behind, which would exhaust the
	// memory of a busy entry.
	@Test
	void releasesAnsweredCalls() {
		start();
		for (int number = 1; number <= 100; number++) {
			answer(call(number));
		}
		assertThat(this.state.timers.size()).isZero();
		assertThat(this.state.calls.size()).isZero();
		assertThat(this.state.attempts.size()).isZero();
	}

	// A caller that disconnects must not leave its call or timer behind.
	@Test
	void releasesCallsOfDisconnectedCallers() {
		start();
		call(1);
		assertThat(this.state.timers.size()).isOne();
		apply(new EntryEvent.CallerDisconnected(new Ticket(1), NOW));
		assertThat(this.state.timers.size()).isZero();
	}

	private void start() {
		UpstreamPolicy upstream = new UpstreamPolicy(SIDECAR.vm(), ZONE, new Endpoint("127.0.0.1", 7001),
				new Endpoint("127.0.0.1", 7002), new UpstreamKind.ForEngine(Set.of(MODEL), true, 100_000), 4);
		Configuration configuration = Configuration.ofSite(new PolicyName("site"))
			.with(ZONE)
			.with(GroupPolicy.withShare(GROUP, 1))
			.with(new CallerPolicy(new PolicyName("desk"), GROUP, KEY))
			.with(new ModelPolicy(MODEL, 100_000, 1000, TokenCost.DEFAULT))
			.with(upstream)
			.build();
		apply(new EntryEvent.NodeEventReceived(new NodeEvent.ConfigurationAccepted(1, configuration, NOW)));
		apply(new EntryEvent.SidecarLinked(SIDECAR.vm(), SIDECAR, NOW));
	}

	private LinkMessage.Dispatch call(int number) {
		Payload payload = new Payload.ForModel(MODEL, HistoryMode.WHOLE, List.of("{}"), Optional.of(10), "{}", false);
		Submission submission = new Submission(KEY, Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.of(Duration.ofMinutes(2)), payload);
		List<EntryEffect> effects = apply(new EntryEvent.CallArrived(new Ticket(number), submission, NOW, number));
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> (LinkMessage.Dispatch) ((EntryEffect.Send) effect).message())
			.findFirst()
			.orElseThrow();
	}

	private void answer(LinkMessage.Dispatch dispatch) {
		CallOutcome outcome = new CallOutcome.Completed(new CallResponse.FromModel("{}", "stop", Usage.NONE),
				Durability.NOT_KEPT, 0);
		apply(new EntryEvent.SidecarMessageReceived(SIDECAR, new LinkMessage.Finished(dispatch.attempt(), outcome),
				NOW));
	}

	private List<EntryEffect> apply(EntryEvent event) {
		Step<EntryState, EntryEffect> step = this.reducer.apply(this.state, event);
		this.state = step.state();
		return step.effects();
	}

}
