package io.lentilslip.core.share;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.share.FairQueue.Entry;
import io.lentilslip.core.share.FairQueue.OfferResult;
import io.lentilslip.core.share.FairQueue.PollResult;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class FairQueueTests {

	private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

	private static final Instant FAR = START.plus(Duration.ofDays(1));

	private static final GroupName BUYERS = new GroupName("buyers");

	private static final GroupName SELLERS = new GroupName("sellers");

	private static final QueueBounds WIDE = QueueBounds.of(100_000, 100_000);

	private static final List<Ordering> ORDERINGS = List.of(Ordering.FairShare.DEFAULT,
			new Ordering.FirstComeFirstServed(), new Ordering.ProgramFirstCome());

	private int lastId;

	@Property(tries = 200, seed = "1")
	void servesByShareOverEveryBackloggedWindow(@ForAll @IntRange(min = 1, max = 9) int buyersShare,
			@ForAll @IntRange(min = 1, max = 9) int sellersShare,
			@ForAll @Size(60) List<@IntRange(min = 1, max = 1000) Integer> costs) {
		FairQueue<Integer, String> queue = fair(
				new Shares(Map.of(BUYERS, (long) buyersShare, SELLERS, (long) sellersShare)));
		for (int cost : costs) {
			queue = with(queue, entry(BUYERS, cost));
			queue = with(queue, entry(SELLERS, 1001 - cost));
		}
		double buyers = 0;
		double sellers = 0;
		double minimum = 0;
		double maximum = 0;
		while (queue.size(BUYERS) > 0 && queue.size(SELLERS) > 0) {
			PollResult<Integer, String> polled = queue.poll(START);
			Entry<Integer, String> served = polled.entry().orElseThrow();
			buyers += served.group().equals(BUYERS) ? (double) served.estimatedCost() / buyersShare : 0;
			sellers += served.group().equals(SELLERS) ? (double) served.estimatedCost() / sellersShare : 0;
			minimum = Math.min(minimum, buyers - sellers);
			maximum = Math.max(maximum, buyers - sellers);
			queue = polled.queue();
		}
		double buyersLargest = costs.stream().mapToInt(Integer::intValue).max().orElseThrow();
		double sellersLargest = costs.stream().mapToInt((cost) -> 1001 - cost).max().orElseThrow();
		assertThat(maximum - minimum)
			.isLessThanOrEqualTo(buyersLargest / buyersShare + sellersLargest / sellersShare + 1e-6);
	}

	@Property(tries = 500, seed = "2")
	void removesEachCallOnceAndPollsUntilEmpty(@ForAll @IntRange(max = 2) int ordering,
			@ForAll("operations") List<Operation> operations) {
		FairQueue<Integer, String> queue = FairQueue.create(ORDERINGS.get(ordering), Shares.EQUAL,
				new QueueBounds(12, 6, Map.of(), 4));
		Map<Integer, Entry<Integer, String>> model = new HashMap<>();
		Instant now = START;
		for (Operation operation : operations) {
			now = now.plusMillis(operation.number());
			queue = switch (operation.kind()) {
				case OFFER -> offer(queue, model, offered(operation, now));
				case POLL -> poll(queue, model, now);
				case REMOVE -> remove(queue, model, operation.number());
				case CHARGE -> queue.charge(operation.group(), Optional.of(operation.program()), operation.cost());
				case FORGET -> queue.removeProgram(operation.program());
			};
			assertThat(queue.size()).isEqualTo(model.size());
			assertThat(queue.size(BUYERS) + queue.size(SELLERS)).isEqualTo(model.size());
			assertThat(queue.trackedPrograms()).isLessThanOrEqualTo(4);
			assertThat(queue.nextDeadline())
				.isEqualTo(model.values().stream().map(Entry::deadline).min(Instant::compareTo));
		}
	}

	// A group that floods the queue must not delay the occasional calls of another
	// group.
	@Property(tries = 50, seed = "3")
	void floodDoesNotDelayALightGroup(@ForAll @Size(20) List<@IntRange(min = 1, max = 30) Integer> gaps) {
		FairQueue<Integer, String> queue = backlog(fair(Shares.EQUAL), BUYERS, 10_000);
		for (int gap : gaps) {
			queue = served(queue, gap);
			assertThat(queue.callsAheadOf(SELLERS)).isEqualTo(1);
			Entry<Integer, String> light = entry(SELLERS, 100);
			queue = with(queue, light);
			assertThat(nextEntries(queue, 1)).containsExactly(light);
			queue = served(queue, 2);
		}
	}

	// A group that becomes backlogged after idling receives its share at once but no
	// credit for the idle time, which would starve the other group.
	@Test
	void idleGroupRegainsItsShareWithoutCredit() {
		FairQueue<Integer, String> queue = backlog(backlog(fair(Shares.EQUAL), SELLERS, 200), BUYERS, 1);
		queue = backlog(served(queue, 100), BUYERS, 50);
		List<Entry<Integer, String>> next = nextEntries(queue, 20);
		assertThat(next.getFirst().group()).isEqualTo(BUYERS);
		assertThat(next).filteredOn((entry) -> entry.group().equals(BUYERS)).hasSize(10);
	}

	// The queue runs empty between calls, so virtual time must be kept while no group
	// is backlogged.
	@Test
	void idleGroupHasNoCreditAfterTheQueueWasEmpty() {
		FairQueue<Integer, String> queue = fair(Shares.EQUAL);
		for (int i = 0; i < 100; i++) {
			queue = served(backlog(queue, SELLERS, 1), 1);
		}
		queue = backlog(backlog(queue, BUYERS, 50), SELLERS, 50);
		assertThat(nextEntries(queue, 20)).filteredOn((entry) -> entry.group().equals(BUYERS)).hasSize(10);
	}

	@Test
	void actualCostIsChargedToTheGroup() {
		FairQueue<Integer, String> queue = backlog(backlog(fair(Shares.EQUAL), BUYERS, 20), SELLERS, 20);
		PollResult<Integer, String> first = queue.poll(START);
		Entry<Integer, String> served = first.entry().orElseThrow();
		queue = first.queue().settle(served, 500);
		assertThat(nextEntries(queue, 5)).extracting(Entry::group).doesNotContain(served.group());
		assertThat(nextEntries(queue, 7)).extracting(Entry::group).contains(served.group());
	}

	@Test
	void changedSharesApplyAtOnce() {
		FairQueue<Integer, String> queue = backlog(backlog(fair(Shares.EQUAL), BUYERS, 60), SELLERS, 60);
		queue = queue.withShares(new Shares(Map.of(BUYERS, 3L, SELLERS, 1L)));
		assertThat(queue.callsAheadOf(new GroupName("owners"))).isEqualTo(4);
		assertThat(queue.callsAheadOf(BUYERS)).isEqualTo(60 + 21);
		assertThat(nextEntries(queue, 40)).filteredOn((entry) -> entry.group().equals(BUYERS)).hasSize(30);
	}

	// Without a minimum share, a steady stream of interactive calls would starve
	// background calls.
	@Property(tries = 50, seed = "4")
	void backgroundCallsReceiveTheirMinimumShare(@ForAll @IntRange(min = 1, max = 99) int percent) {
		Ordering ordering = new Ordering.FairShare(percent, 10_000, Duration.ofSeconds(30));
		FairQueue<Integer, String> queue = FairQueue.create(ordering, Shares.EQUAL, WIDE);
		for (int i = 0; i < 300; i++) {
			queue = with(queue, entry(BUYERS, 10));
			queue = with(queue, withClass(BUYERS, ServiceClass.BACKGROUND));
		}
		long background = nextEntries(queue, 200).stream()
			.filter((entry) -> entry.serviceClass() == ServiceClass.BACKGROUND)
			.count();
		assertThat(background).isBetween(2L * percent - 1, 2L * percent + 1);
	}

	@Test
	void backgroundCallsAccumulateNoCreditWhileNoneIsWaiting() {
		FairQueue<Integer, String> queue = with(fair(Shares.EQUAL), withClass(BUYERS, ServiceClass.BACKGROUND));
		queue = served(backlog(queue, BUYERS, 200), 100);
		for (int i = 0; i < 10; i++) {
			queue = with(queue, withClass(BUYERS, ServiceClass.BACKGROUND));
		}
		assertThat(nextEntries(queue, 1)).extracting(Entry::serviceClass).containsExactly(ServiceClass.INTERACTIVE);
	}

	@Test
	void interactiveCallsAreServedFirst() {
		FairQueue<Integer, String> queue = with(fair(Shares.EQUAL), withClass(BUYERS, ServiceClass.BACKGROUND));
		Entry<Integer, String> interactive = entry(BUYERS, 10);
		assertThat(nextEntries(with(queue, interactive), 1)).containsExactly(interactive);
	}

	@Test
	void programWithTheLeastServiceIsServedFirst() {
		FairQueue<Integer, String> queue = fair(Shares.EQUAL);
		queue = with(queue, of("long", START, 10)).poll(START).queue();
		queue = queue.charge(BUYERS, Optional.of(program("long")), 40_000);
		Entry<Integer, String> later = of("long", START, 10);
		Entry<Integer, String> fresh = of("new", START.plusSeconds(1), 10);
		queue = with(with(queue, later), fresh);
		assertThat(nextEntries(queue, 2)).containsExactly(fresh, later);
		Entry<Integer, String> again = of("long", START, 10);
		assertThat(nextEntries(with(queue.removeProgram(program("long")), again), 1)).containsExactly(again);
	}

	@Test
	void removedCallIsNotChargedToItsProgram() {
		FairQueue<Integer, String> queue = fair(Shares.EQUAL);
		Entry<Integer, String> cancelled = of("cancelled", START, 1_000_000);
		queue = with(queue, cancelled).remove(cancelled.id()).orElseThrow().queue();
		Entry<Integer, String> again = of("cancelled", START, 10);
		Entry<Integer, String> fresh = of("new", START.plusSeconds(1), 10);
		assertThat(nextEntries(with(with(queue, again), fresh), 2)).containsExactly(again, fresh);
	}

	// The penalty for attained service is bounded, so a steady stream of new programs
	// cannot starve a long one.
	@Property(tries = 50, seed = "5")
	void newProgramsDoNotStarveALongOne(@ForAll @IntRange(min = 1, max = 1_000_000) int attained) {
		FairQueue<Integer, String> queue = with(fair(Shares.EQUAL), of("long", START, attained)).poll(START).queue();
		Entry<Integer, String> call = of("long", START, 10);
		queue = with(queue, call);
		Duration maxPenalty = Ordering.FairShare.DEFAULT.maxPenalty();
		for (int second = 0; second < 100; second++) {
			queue = with(queue, of("new-" + second, START.plusSeconds(second), 10));
		}
		List<Entry<Integer, String>> order = nextEntries(queue, 101);
		assertThat(order.subList(0, order.indexOf(call)))
			.allSatisfy((before) -> assertThat(before.arrived()).isBeforeOrEqualTo(START.plus(maxPenalty)));
	}

	// The caller of an expired call is notified that it did not run, so it must never
	// be served.
	@Test
	void expiredCallIsNeverServed() {
		Entry<Integer, String> late = new Entry<>(1, BUYERS, Optional.empty(), ServiceClass.INTERACTIVE, START,
				START.plusSeconds(1), 10, "late");
		Entry<Integer, String> other = new Entry<>(2, BUYERS, Optional.empty(), ServiceClass.INTERACTIVE, START, FAR,
				10, "other");
		FairQueue<Integer, String> queue = with(with(fair(Shares.EQUAL), late), other);
		assertThat(queue.poll(START).entry()).contains(late);
		PollResult<Integer, String> polled = queue.poll(START.plusSeconds(1));
		assertThat(polled.entry()).contains(other);
		assertThat(polled.expired()).containsExactly(late);
		assertThat(polled.queue().isEmpty()).isTrue();
	}

	@Test
	void fullQueueRejectsTheGroupWithTheMostCallsPerShare() {
		FairQueue<Integer, String> queue = FairQueue.create(Ordering.FairShare.DEFAULT, Shares.EQUAL,
				QueueBounds.of(4, 4));
		queue = with(backlog(queue, SELLERS, 3), entry(BUYERS, 10));
		assertThat(queue.offer(entry(SELLERS, 10))).isEqualTo(new OfferResult.Rejected<>(FairQueue.Bound.TOTAL_CALLS));
		OfferResult<Integer, String> offered = queue.offer(entry(new GroupName("owners"), 10));
		assertThat(offered).isInstanceOfSatisfying(OfferResult.Queued.class, (queued) -> {
			assertThat(queued.queue().size()).isEqualTo(4);
			assertThat(queued.queue().size(SELLERS)).isEqualTo(2);
			assertThat(queued.evicted()).isPresent();
		});
	}

	@Test
	void groupOverrideAppliesToItsGroup() {
		QueueBounds bounds = new QueueBounds(10, 5, Map.of(SELLERS, 1), 10);
		FairQueue<Integer, String> queue = FairQueue.create(new Ordering.FirstComeFirstServed(), Shares.EQUAL, bounds);
		queue = with(queue, entry(SELLERS, 10));
		assertThat(queue.offer(entry(SELLERS, 10))).isEqualTo(new OfferResult.Rejected<>(FairQueue.Bound.GROUP_CALLS));
		assertThat(backlog(queue, BUYERS, 5).size()).isEqualTo(6);
	}

	@Test
	void baselineOrderingsSortByArrival() {
		Entry<Integer, String> first = of("a", START, 10);
		Entry<Integer, String> second = of("b", START.plusSeconds(1), 10);
		Entry<Integer, String> third = of("a", START.plusSeconds(2), 10);
		assertThat(order(new Ordering.FirstComeFirstServed(), third, first, second)).containsExactly(first, second,
				third);
		assertThat(order(new Ordering.ProgramFirstCome(), first, second, third)).containsExactly(first, third, second);
	}

	@Test
	void rejectsACallThatIsAlreadyQueued() {
		Entry<Integer, String> entry = entry(BUYERS, 10);
		FairQueue<Integer, String> queue = with(fair(Shares.EQUAL), entry);
		assertThatIllegalArgumentException().isThrownBy(() -> queue.offer(entry));
	}

	@Provide
	Arbitrary<List<Operation>> operations() {
		return Combinators
			.combine(
					Arbitraries.of(Kind.OFFER, Kind.OFFER, Kind.OFFER, Kind.POLL, Kind.REMOVE, Kind.CHARGE,
							Kind.FORGET),
					Arbitraries.of(BUYERS, SELLERS), Arbitraries.integers().between(0, 60),
					Arbitraries.integers().between(-50, 50))
			.as(Operation::new)
			.list()
			.ofMaxSize(80);
	}

	private Entry<Integer, String> offered(Operation operation, Instant now) {
		ServiceClass serviceClass = (operation.cost() > 0) ? ServiceClass.INTERACTIVE : ServiceClass.BACKGROUND;
		return new Entry<>(this.lastId++ % 50, operation.group(), Optional.of(operation.program()), serviceClass, now,
				now.plusMillis(operation.number() * 7L), 1 + Math.abs(operation.cost()), "call");
	}

	private static FairQueue<Integer, String> offer(FairQueue<Integer, String> queue,
			Map<Integer, Entry<Integer, String>> model, Entry<Integer, String> entry) {
		if (model.containsKey(entry.id())) {
			return queue;
		}
		return switch (queue.offer(entry)) {
			case OfferResult.Queued<Integer, String> queued -> {
				queued.evicted().ifPresent((call) -> assertThat(model.remove(call.id())).isEqualTo(call));
				model.put(entry.id(), entry);
				yield queued.queue();
			}
			case OfferResult.Rejected<Integer, String> rejected -> {
				assertThat(model.size() == 12 || queue.size(entry.group()) == 6).isTrue();
				yield queue;
			}
		};
	}

	private static FairQueue<Integer, String> poll(FairQueue<Integer, String> queue,
			Map<Integer, Entry<Integer, String>> model, Instant now) {
		PollResult<Integer, String> polled = queue.poll(now);
		List<Entry<Integer, String>> expired = model.values()
			.stream()
			.filter((entry) -> !entry.deadline().isAfter(now))
			.toList();
		assertThat(polled.expired()).containsExactlyInAnyOrderElementsOf(expired);
		expired.forEach((entry) -> model.remove(entry.id()));
		assertThat(polled.entry().isPresent()).isEqualTo(!model.isEmpty());
		polled.entry().ifPresent((entry) -> assertThat(model.remove(entry.id())).isEqualTo(entry));
		return polled.queue();
	}

	private static FairQueue<Integer, String> remove(FairQueue<Integer, String> queue,
			Map<Integer, Entry<Integer, String>> model, int id) {
		Optional<FairQueue.RemoveResult<Integer, String>> removed = queue.remove(id);
		assertThat(removed.map(FairQueue.RemoveResult::entry)).isEqualTo(Optional.ofNullable(model.remove(id)));
		return removed.map(FairQueue.RemoveResult::queue).orElse(queue);
	}

	private static FairQueue<Integer, String> fair(Shares shares) {
		return FairQueue.create(Ordering.FairShare.DEFAULT, shares, WIDE);
	}

	private FairQueue<Integer, String> backlog(FairQueue<Integer, String> queue, GroupName group, int calls) {
		FairQueue<Integer, String> filled = queue;
		for (int i = 0; i < calls; i++) {
			filled = with(filled, entry(group, 100));
		}
		return filled;
	}

	private static FairQueue<Integer, String> with(FairQueue<Integer, String> queue, Entry<Integer, String> entry) {
		OfferResult<Integer, String> offered = queue.offer(entry);
		assertThat(offered).isInstanceOf(OfferResult.Queued.class);
		return ((OfferResult.Queued<Integer, String>) offered).queue();
	}

	@SafeVarargs
	private static List<Entry<Integer, String>> order(Ordering ordering, Entry<Integer, String>... entries) {
		FairQueue<Integer, String> queue = FairQueue.create(ordering, Shares.EQUAL, WIDE);
		for (Entry<Integer, String> entry : entries) {
			queue = with(queue, entry);
		}
		return nextEntries(queue, entries.length);
	}

	private static List<Entry<Integer, String>> nextEntries(FairQueue<Integer, String> queue, int count) {
		return Stream.iterate(queue.poll(START), (polled) -> polled.queue().poll(START))
			.limit(count)
			.map((polled) -> polled.entry().orElseThrow())
			.toList();
	}

	private static FairQueue<Integer, String> served(FairQueue<Integer, String> queue, int calls) {
		FairQueue<Integer, String> remaining = queue;
		for (int i = 0; i < calls; i++) {
			remaining = remaining.poll(START).queue();
		}
		return remaining;
	}

	private Entry<Integer, String> entry(GroupName group, int cost) {
		return new Entry<>(this.lastId++, group, Optional.empty(), ServiceClass.INTERACTIVE, START, FAR, cost, "call");
	}

	private Entry<Integer, String> withClass(GroupName group, ServiceClass serviceClass) {
		return new Entry<>(this.lastId++, group, Optional.empty(), serviceClass, START, FAR, 10, "call");
	}

	private Entry<Integer, String> of(String program, Instant arrived, int cost) {
		return new Entry<>(this.lastId++, BUYERS, Optional.of(program(program)), ServiceClass.INTERACTIVE, arrived, FAR,
				cost, "call");
	}

	private static ProgramId program(String name) {
		return new ProgramId(BUYERS, new ProgramName(name));
	}

	private enum Kind {

		OFFER, POLL, REMOVE, CHARGE, FORGET

	}

	private record Operation(Kind kind, GroupName group, int number, int cost) {

		private ProgramId program() {
			return new ProgramId(this.group, new ProgramName("program-" + this.number % 7));
		}

	}

}
