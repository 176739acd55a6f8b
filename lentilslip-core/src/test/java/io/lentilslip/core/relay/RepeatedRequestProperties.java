package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the runs of callers who repeat the ids of their requests at two relays are
 * all counted, whenever each relay receives the entries of the other, once or twice and
 * in any order.
 */
class RepeatedRequestProperties {

	private static final int MAX_TOKENS = 100;

	@Property(tries = 300, seed = "7")
	void countedTokensAreThoseOfAllRuns(@ForAll @IntRange(min = 1, max = 12) int runs, @ForAll long seed) {
		Random random = new Random(seed);
		List<Node> nodes = List.of(new Node(random.nextLong()), new Node(random.nextLong()));
		long tokens = 0;
		for (int i = 0; i < runs; i++) {
			tokens += nodes.get(random.nextInt(2)).run("t" + random.nextInt(2), random);
			nodes.get(0).receive(nodes.get(1).sentEntries(), random, false);
			nodes.get(1).receive(nodes.get(0).sentEntries(), random, false);
		}
		nodes.get(0).receive(nodes.get(1).sentEntries(), random, true);
		nodes.get(1).receive(nodes.get(0).sentEntries(), random, true);
		for (Node node : nodes) {
			assertThat(node.relay.usedTokens("p")).isEqualTo(tokens);
		}
	}

	/**
	 * A relay with its open runs. Used by one thread.
	 */
	private static final class Node {

		private final RelayFixture relay;

		Node(long seed) {
			this.relay = RelayFixture.ready(seed);
		}

		// Returns the tokens that count after the run, which may be rejected, end after
		// some events, or not end.
		int run(String id, Random random) {
			this.relay.sendTurn(id, "draft", RelayFixture.turn("p", 1_000_000, MAX_TOKENS, null));
			int outcome = random.nextInt(3);
			if (outcome == 0) {
				this.relay.respond(1, RelayFixture.FULL);
				this.relay.respond(2, RelayFixture.FULL);
				return 0;
			}
			this.relay.open(1);
			int events = random.nextInt(1, 5);
			for (int number = 1; number <= events; number++) {
				this.relay.event(1, number);
			}
			if (outcome == 1) {
				return MAX_TOKENS;
			}
			this.relay.end(1);
			return events * RelayFixture.TOKENS_PER_EVENT;
		}

		List<LedgerEntry> sentEntries() {
			return RelayFixture.written(this.relay.all);
		}

		void receive(List<LedgerEntry> sent, Random random, boolean all) {
			List<LedgerEntry> entries = new ArrayList<>(sent);
			Collections.shuffle(entries, random);
			for (LedgerEntry entry : entries) {
				if (all || random.nextInt(4) == 0) {
					this.relay.readFromPeer(entry);
				}
				if (random.nextBoolean() && all) {
					this.relay.readFromLog(entry);
				}
			}
		}

	}

}
