package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
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
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.link.Standing;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HomeRulesTests {

	private static final Instant NOW = Instant.EPOCH.plusSeconds(60);

	private static final ZoneName ZONE = new ZoneName("hall");

	private static final GroupName GROUP = new GroupName("buyers");

	private static final ModelName MODEL = new ModelName("assistant");

	private static final ProcessId SELF = new ProcessId(new VmName("runner-1"), new Incarnation(7));

	private static final ProcessId ENTRY = new ProcessId(new VmName("entry-1"), new Incarnation(9));

	private static final ProgramId PROGRAM = new ProgramId(GROUP, new ProgramName("chat"));

	private final SidecarReducer reducer = new SidecarReducer();

	private final List<SidecarEffect> effects = new ArrayList<>();

	private SidecarState state = SidecarState.of(SELF, ZONE);

	// The caller's first message is larger than a record of the log may be. Run, its turn
	// could be appended never, the answer would stay pending, and the next eight calls
	// with it. It is refused before it runs, as not run, and the program goes on.
	@Test
	void refusesATurnThatNoRecordCanHold() {
		startAsHome();
		dispatch(1, "x".repeat(1 << 20));
		CallFailure failure = failureOf(1);
		assertThat(failure.cause()).isEqualTo(FailureCause.TOO_LARGE);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		dispatch(2, "small");
		assertThat(this.effects).anyMatch(SidecarEffect.Generate.class::isInstance);
	}

	// A later file of the operators removes a group while a program of it pauses between
	// two turns. Nobody can call it any more. Its home ends it through the log, so that
	// every process knows and the engine holds nothing for it.
	@Test
	void endsProgramsWhoseGroupIsRemoved() {
		startAsHome();
		dispatch(1, "hello");
		accept(2, Configuration.ofSite(new PolicyName("site")).with(ZONE).build());
		assertThat(appended()).contains(new LedgerRecord.ProgramEnded(PROGRAM, EndReason.GROUP_REMOVED));
	}

	// The engine refuses every call of one group at once, without work. If the group had
	// to pay what its calls were expected to cost, the other group would be served first
	// for as long as that lasts, though nothing was received.
	@Test
	void chargesNothingForARunThatDidNotRun() {
		startAsHome();
		dispatch(1, "hello");
		RunId run = this.effects.stream()
			.filter(SidecarEffect.Generate.class::isInstance)
			.map(SidecarEffect.Generate.class::cast)
			.findFirst()
			.orElseThrow()
			.run();
		long charged = counter();
		apply(new SidecarEvent.RunEnded(run, new RunResult.Rejected(400, "no such tool"), NOW));
		assertThat(charged).isPositive();
		assertThat(counter()).isZero();
	}

	private long counter() {
		return this.state.queue.attained(PROGRAM);
	}

	private void startAsHome() {
		accept(1, configuration());
		apply(new SidecarEvent.EntryLinked(ENTRY, NOW));
		apply(new SidecarEvent.UpstreamReported(1, 0, 0, 0, NOW));
		LedgerRecord claim = new LedgerRecord.ProgramClaimed(PROGRAM, Epoch.NONE.next(), SELF, Optional.empty());
		apply(new SidecarEvent.LogSpoke(new LogEvent.BatchRead(0, NOW, List.of(claim), NOW)));
	}

	private void accept(long version, Configuration configuration) {
		apply(new SidecarEvent.NodeSpoke(new NodeEvent.ConfigurationAccepted(version, configuration, NOW)));
	}

	private static Configuration configuration() {
		UpstreamPolicy upstream = new UpstreamPolicy(SELF.vm(), ZONE, new Endpoint("127.0.0.1", 7001),
				new Endpoint("127.0.0.1", 7002), new UpstreamKind.ForEngine(Set.of(MODEL), true, 100_000), 4);
		return Configuration.ofSite(new PolicyName("site"))
			.with(ZONE)
			.with(GroupPolicy.withShare(GROUP, 1))
			.with(new ModelPolicy(MODEL, 100_000, 1000, TokenCost.DEFAULT))
			.with(upstream)
			.build();
	}

	private void dispatch(int number, String content) {
		ProgramCall place = new ProgramCall(PROGRAM, Optional.empty(), Optional.empty());
		CallRequest call = new CallRequest.ForModel(GROUP, Optional.of(place), Optional.empty(), Digest.of(content),
				MODEL, HistoryMode.WHOLE, List.of(content), 100, "{}", false);
		apply(new SidecarEvent.EntrySpoke(ENTRY, new LinkMessage.Dispatch(attempt(number), call,
				new Standing.ForHome(SELF, Epoch.NONE.next(), 0), Duration.ofMinutes(1), ""), NOW));
	}

	private static AttemptId attempt(int number) {
		return new AttemptId(ENTRY.incarnation(), number);
	}

	private void apply(SidecarEvent event) {
		Step<SidecarState, SidecarEffect> step = this.reducer.apply(this.state, event);
		this.state = step.state();
		this.effects.addAll(step.effects());
	}

	private CallFailure failureOf(int number) {
		for (SidecarEffect effect : this.effects) {
			if (effect instanceof SidecarEffect.Send send && send.message() instanceof LinkMessage.Finished finished
					&& finished.attempt().equals(attempt(number))
					&& finished.outcome() instanceof CallOutcome.Failed failed) {
				return failed.failure();
			}
		}
		throw new AssertionError("the attempt has no failure: " + number);
	}

	private List<LedgerRecord> appended() {
		return this.effects.stream()
			.filter(SidecarEffect.ForNode.class::isInstance)
			.map((effect) -> ((SidecarEffect.ForNode) effect).effect())
			.filter(NodeEffect.Append.class::isInstance)
			.map((effect) -> ((NodeEffect.Append) effect).record())
			.toList();
	}

}
