package io.lentilslip.core.role;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AgendaTests {

	private static final Instant EARLY = Instant.EPOCH.plusSeconds(1);

	private static final Instant LATE = Instant.EPOCH.plusSeconds(2);

	@Test
	void givesWhatIsDueInTheOrderOfTimes() {
		Agenda<String> agenda = Agenda.<String>empty().with(LATE, "c").with(EARLY, "a").with(EARLY, "b");
		Agenda.Due<String> due = agenda.due(EARLY);
		assertThat(due.items()).containsExactly("a", "b");
		assertThat(due.agenda().size()).isEqualTo(1);
		assertThat(due.agenda().due(LATE).items()).containsExactly("c");
	}

	@Test
	void givesNothingThatWasTakenOut() {
		Agenda<String> agenda = Agenda.<String>empty().with(EARLY, "a").with(EARLY, "b").without(EARLY, "a");
		assertThat(agenda.size()).isEqualTo(1);
		assertThat(agenda.due(LATE).items()).containsExactly("b");
	}

	@Test
	void takesNothingOutThatStandsAtAnotherTime() {
		Agenda<String> agenda = Agenda.<String>empty().with(EARLY, "a").without(LATE, "a");
		assertThat(agenda.due(EARLY).items()).containsExactly("a");
	}

}
