package io.lentilslip.relay.net;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeldBytesTests {

	private final List<String> evicted = new ArrayList<>();

	private final HeldBytes heldBytes = new HeldBytes(1_000);

	@Test
	void largestAccountIsEvictedInFavorOfASmallerOne() {
		HeldBytes.Account small = open("small", 100);
		open("large", 800);
		assertThat(open("new", 200).size()).isEqualTo(200);
		assertThat(this.evicted).containsExactly("large");
		assertThat(small.size()).isEqualTo(100);
		assertThat(this.heldBytes.held()).isEqualTo(300);
	}

	// Guards against evicting what others hold in favor of more than they do.
	@Test
	void largerAccountDoesNotEvictSmallerOnes() {
		open("first", 500);
		open("second", 400);
		assertThat(this.heldBytes.open(() -> {
		}).tryResize(600)).isFalse();
		assertThat(this.evicted).isEmpty();
		assertThat(this.heldBytes.held()).isEqualTo(900);
	}

	// Guards against an account that takes all by growing.
	@Test
	void accountThatGrowsBeyondTheLimitIsRefused() {
		HeldBytes.Account growing = open("growing", 600);
		open("other", 300);
		assertThat(growing.tryResize(800)).isFalse();
		assertThat(growing.size()).isEqualTo(600);
		assertThat(this.evicted).isEmpty();
	}

	// Guards against large requests that wait for their responses and keep out small
	// ones.
	@Test
	void largeRequestsLeaveHalfOfTheBudgetToSmallOnes() {
		HeldBytes budget = new HeldBytes(1_024_000);
		assertThat(budget.tryAccept(500_000)).isTrue();
		assertThat(budget.tryAccept(20_000)).isFalse();
		for (int i = 0; i < 500; i++) {
			assertThat(budget.tryAccept(1_000)).isTrue();
		}
		budget.releaseAccepted(500_000);
		assertThat(budget.tryAccept(500_000)).isTrue();
		budget.releaseAccepted(500_000);
		for (int i = 0; i < 500; i++) {
			budget.releaseAccepted(1_000);
		}
		assertThat(budget.held()).isZero();
	}

	// Guards against an incomplete request that keeps out one that is whole.
	@Test
	void acceptedRequestEvictsLargerAccounts() {
		open("incomplete", 900);
		assertThat(this.heldBytes.tryAccept(400)).isTrue();
		assertThat(this.evicted).containsExactly("incomplete");
	}

	// Guards against output that is held whatever the limit.
	@Test
	void outputThatIsHeldAnywayEvictsTheLargestAccounts() {
		open("input", 100);
		HeldBytes.Account first = open("first", 700);
		HeldBytes.Account second = open("second", 100);
		second.hold(400);
		assertThat(this.evicted).containsExactly("first");
		assertThat(first.size()).isZero();
		second.hold(950);
		assertThat(this.evicted).containsExactly("first", "second");
		assertThat(this.heldBytes.held()).isEqualTo(100);
	}

	// Guards against bytes that stay counted.
	@Property(tries = 300)
	void nothingIsHeldOnceAllIsCleared(@ForAll @Size(max = 60) List<@IntRange(max = 1200) Integer> sizes) {
		HeldBytes budget = new HeldBytes(1_000);
		List<HeldBytes.Account> accounts = new ArrayList<>();
		List<Integer> accepted = new ArrayList<>();
		for (int size : sizes) {
			switch (size % 4) {
				case 0 -> {
					HeldBytes.Account account = budget.open(() -> {
					});
					account.tryResize(size);
					accounts.add(account);
				}
				case 1 -> accounts.forEach((account) -> account.tryResize(account.size() / 2 + size / 3));
				case 2 -> accounts.stream().findAny().ifPresent(HeldBytes.Account::clear);
				default -> {
					if (budget.tryAccept(size)) {
						accepted.add(size);
					}
				}
			}
			long onAccounts = accounts.stream().mapToLong(HeldBytes.Account::size).sum();
			long inFlight = accepted.stream().mapToLong(Integer::longValue).sum();
			assertThat(budget.held()).isEqualTo(onAccounts + inFlight).isLessThanOrEqualTo(1_000);
		}
		accounts.forEach(HeldBytes.Account::clear);
		accepted.forEach(budget::releaseAccepted);
		assertThat(budget.held()).isZero();
	}

	private HeldBytes.Account open(String name, long size) {
		HeldBytes.Account account = this.heldBytes.open(() -> this.evicted.add(name));
		assertThat(account.tryResize(size)).isTrue();
		return account;
	}

	// Guards against upstreams that don't end their responses and keep out all callers.
	@Test
	void incompleteResponsesLeaveRoomForRequests() {
		HeldBytes budget = new HeldBytes(1000);
		while (budget.tryHoldIncomplete(10)) {
			assertThat(budget.held()).isLessThanOrEqualTo(budget.limit());
		}
		assertThat(budget.tryAccept(200)).isTrue();
		budget.releaseIncomplete(budget.held() - 200);
		assertThat(budget.held()).isEqualTo(200);
		assertThat(budget.tryHoldIncomplete(700)).isTrue();
	}

}
