package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.lentilslip.core.relay.RequestHead.Origin;
import io.lentilslip.core.relay.RequestHead.Resumption;
import io.lentilslip.core.relay.RequestHead.Turn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedHeadTests {

	private static final String LONG = "n".repeat(15_000);

	@Test
	void shortNameIsKept() {
		String longest = "n".repeat(BoundedName.MAX_LENGTH);
		assertThat(BoundedName.of("9c41d07be2a35f68")).isEqualTo("9c41d07be2a35f68");
		assertThat(BoundedName.of(longest)).isEqualTo(longest);
	}

	@Test
	void longNamesAreShortAndDiffer() {
		assertThat(BoundedName.of(LONG)).hasSizeLessThanOrEqualTo(BoundedName.MAX_LENGTH)
			.isEqualTo(BoundedName.of("n".repeat(15_000)))
			.isNotEqualTo(BoundedName.of(LONG + "n"));
	}

	// Guards against a turn of a team that is not found under its id, as its scoped id is
	// longer.
	@Test
	void previousTurnOfATeamIsFoundUnderItsId() {
		Team team = new Team("a-team-with-a-name", OptionalInt.empty(), Optional.empty());
		String id = "n".repeat(BoundedName.MAX_LENGTH);
		for (String name : List.of(id, LONG)) {
			RequestHead head = new RequestHead(name, "h", "/x", Optional.empty(),
					Optional.of(new Turn("p", OptionalLong.empty(), 1, Optional.of(name))), List.of(), 0,
					Optional.empty(), Optional.empty(), Origin.UNKNOWN)
				.bounded();
			assertThat(head.scopedTo(team).turn().orElseThrow().previous()).contains(team.scopedId(head.id()));
		}
	}

	// Guards against names that stay in indexes and in the log after their requests.
	@Test
	void namesOfARequestAreBounded() {
		RequestHead head = new RequestHead(LONG + 1, "h", "/x", Optional.empty(),
				Optional.of(new Turn(LONG + 2, OptionalLong.empty(), 1, Optional.of(LONG + 3))), List.of(), 0,
				Optional.of(new Resumption(1, Optional.of(LONG + 4))), Optional.empty(),
				new Origin(Optional.of(LONG + 2), Optional.empty()))
			.bounded();
		assertThat(head.id()).isEqualTo(BoundedName.of(LONG + 1));
		assertThat(head.turn().orElseThrow().program()).isEqualTo(BoundedName.of(LONG + 2));
		assertThat(head.program()).contains(BoundedName.of(LONG + 2));
		assertThat(head.turn().orElseThrow().previous()).contains(BoundedName.of(LONG + 3));
		assertThat(head.resumption().orElseThrow().request()).contains(BoundedName.of(LONG + 4));
	}

	// Guards against reservations with thousands of parts, which all relays read.
	@Test
	void partsOfAPromptAreBoundedAndHaveTokens() {
		List<PromptPart> parts = new ArrayList<>();
		for (int id = 0; id < 4_000; id++) {
			parts.add(new PromptPart(id, id % 3 - 1));
		}
		RequestHead head = new RequestHead("r", "h", "/x", Optional.empty(), Optional.empty(), parts, 0,
				Optional.empty(), Optional.empty(), Origin.UNKNOWN)
			.bounded();
		assertThat(head.prompt()).hasSize(RequestHead.MAX_PROMPT_PARTS)
			.allMatch((part) -> part.tokens() == 1)
			.first()
			.isEqualTo(new PromptPart(2, 1));
	}

}
