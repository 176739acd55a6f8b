package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimRulesTests {

	private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

	private static final ZoneName ZONE = new ZoneName("north");

	private static final GroupName GROUP = new GroupName("sellers");

	private static final ServiceName SERVICE = new ServiceName("pings");

	private static final ProcessId SELF = new ProcessId(new VmName("service-0"), new Incarnation(1));

	private static final ProcessId ENTRY = new ProcessId(new VmName("entry-0"), new Incarnation(2));

	private static final IdempotencyKey TEXT = new IdempotencyKey("k");

	private static final CallKey KEY = new CallKey.ForIdempotencyKey(GROUP, TEXT);

	private static final Digest CONTENT = Digest.of("content");

	private static final Configuration CONFIGURATION = Configuration.ofSite(new PolicyName("site"))
		.with(ZONE)
		.with(GroupPolicy.withShare(GROUP, 1))
		.with(new ServicePolicy(SERVICE, List.of(), Duration.ofSeconds(5)))
		.with(new UpstreamPolicy(SELF.vm(), ZONE, new Endpoint("10.0.0.1", 1), new Endpoint("127.0.0.1", 2),
				new UpstreamKind.ForService(Set.of(SERVICE)), 2))
		.build();

	private final SidecarReducer reducer = new SidecarReducer();

	private final List<SidecarEffect> effects = new ArrayList<>();

	private SidecarState state = SidecarState.of(SELF, ZONE);

	private long attempts;

	// The service is down, so the sidecar releases its claim; the append has no answer
	// and
	// may take effect at any time. The same sidecar is claimed again and the service is
	// back. If it ran the call, the late release would let another sidecar run it too.
	@Test
	void runsNothingThatAReleaseUnderWayMayRelease() {
		start();
		read(0, new LedgerRecord.CallClaimed(KEY, CONTENT, SELF));
		dispatch(0);
		endAppend(AppendResult.UNKNOWN);
		read(1, released());
		read(2, new LedgerRecord.CallClaimed(KEY, CONTENT, SELF));
		apply(new SidecarEvent.UpstreamLoadReceived(1, 0, 0, 0, NOW));
		this.effects.clear();
		dispatch(2);
		assertThat(this.effects).noneMatch(SidecarEffect.CallService.class::isInstance);
		assertThat(appends()).hasSize(1);
	}

	// The same, but the log has said that it holds the release: nothing is under way, and
	// the call runs.
	@Test
	void runsACallClaimedAnewAfterItsRelease() {
		start();
		read(0, new LedgerRecord.CallClaimed(KEY, CONTENT, SELF));
		dispatch(0);
		endAppend(AppendResult.APPENDED);
		read(1, released());
		read(2, new LedgerRecord.CallClaimed(KEY, CONTENT, SELF));
		apply(new SidecarEvent.UpstreamLoadReceived(1, 0, 0, 0, NOW));
		dispatch(2);
		assertThat(this.effects).filteredOn(SidecarEffect.CallService.class::isInstance).hasSize(1);
	}

	private void start() {
		apply(new SidecarEvent.NodeEventReceived(new NodeEvent.ConfigurationAccepted(1, CONFIGURATION, NOW)));
		apply(new SidecarEvent.EntryConnected(ENTRY, NOW));
	}

	private void read(long offset, LedgerRecord record) {
		apply(new SidecarEvent.LogEventReceived(new LogEvent.BatchRead(offset, NOW, List.of(record), NOW)));
	}

	private void dispatch(long offset) {
		CallRequest call = new CallRequest.ForService(GROUP, Optional.empty(), Optional.of(TEXT), CONTENT, SERVICE,
				new ServiceRequest("POST", "/ping", List.of(), Body.EMPTY), false);
		apply(new SidecarEvent.EntryMessageReceived(ENTRY,
				new LinkMessage.Dispatch(new AttemptId(ENTRY.incarnation(), ++this.attempts), call,
						new ExecutionAuthority.ForClaimedCall(KEY, SELF, offset), Duration.ofSeconds(10), ""),
				NOW));
	}

	private void endAppend(AppendResult result) {
		apply(new SidecarEvent.LogEventReceived(new LogEvent.AppendEnded(appends().getLast().append(), result, NOW)));
	}

	private List<NodeEffect.AppendRecord> appends() {
		return this.effects.stream()
			.filter((effect) -> effect instanceof SidecarEffect.ForNode node
					&& node.effect() instanceof NodeEffect.AppendRecord)
			.map((effect) -> (NodeEffect.AppendRecord) ((SidecarEffect.ForNode) effect).effect())
			.toList();
	}

	private static LedgerRecord released() {
		return new LedgerRecord.CallSettled(KEY, SELF,
				new CallOutcome.Failed(CallFailure.notRun(FailureCause.NO_UPSTREAM, "The upstream does not answer.")));
	}

	private void apply(SidecarEvent event) {
		Step<SidecarState, SidecarEffect> step = this.reducer.apply(this.state, event);
		this.state = step.state();
		this.effects.addAll(step.effects());
	}

}
