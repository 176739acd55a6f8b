package io.lentilslip.runtime.configuration;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.runtime.configuration.ConfigurationLineage.Decision;
import io.lentilslip.runtime.configuration.ConfigurationLineage.Effect;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationLineageTests {

	@Test
	void firstPublicationIsMadeFromNothing() {
		assertThat(ConfigurationLineage.atStart().read(ConfigurationLineage.NONE).effect()).isEqualTo(Effect.TAKEN);
	}

	// Two operators publish from version 0 at the same moment. The log puts one before
	// the other; the later record changes nothing, and its operator is told so instead of
	// undoing what the first one did.
	@Test
	void ofTwoPublicationsFromOneBaseTheFirstWins() {
		ConfigurationLineage start = ConfigurationLineage.after(0);
		Decision first = start.read(0);
		Decision second = first.after().read(0);
		assertThat(first.effect()).isEqualTo(Effect.TAKEN);
		assertThat(second.effect()).isEqualTo(Effect.SUPERSEDED);
		assertThat(second.after()).isEqualTo(new ConfigurationLineage(3, 1, true));
		assertThat(second.after().read(1).effect()).isEqualTo(Effect.TAKEN);
	}

	@Test
	void baseThatCannotStandBeforeTheRecordMeansNothing() {
		ConfigurationLineage start = ConfigurationLineage.after(4);
		assertThat(start.read(5).effect()).isEqualTo(Effect.MALFORMED);
		assertThat(start.read(-2).effect()).isEqualTo(Effect.MALFORMED);
		assertThat(start.read(5).after()).isEqualTo(new ConfigurationLineage(6, 4, true));
	}

	// A process starts when the records up to 39 have passed retention. The record at 40
	// was made from 31; one of the missing records may have superseded 31. The process
	// must not guess, but a record made from a version it has read about is decided.
	@Test
	void recordWhoseBasePassedRetentionIsUndecided() {
		ConfigurationLineage afterGap = ConfigurationLineage.atStart().afterGap(40);
		Decision undecided = afterGap.read(31);
		assertThat(undecided.effect()).isEqualTo(Effect.UNDECIDED);
		assertThat(undecided.after().read(31).effect()).isEqualTo(Effect.UNDECIDED);
		assertThat(undecided.after().read(40).effect()).isEqualTo(Effect.TAKEN);
	}

	@Test
	void recordRightAfterItsBaseNeedsNoMissingRecord() {
		assertThat(ConfigurationLineage.atStart().afterGap(40).read(39).effect()).isEqualTo(Effect.TAKEN);
	}

	@Test
	void gapThatWasReadAlreadyChangesNothing() {
		ConfigurationLineage lineage = ConfigurationLineage.after(50);
		assertThat(lineage.afterGap(40)).isEqualTo(lineage);
	}

	@Test
	void unreadableRecordKeepsTheHead() {
		assertThat(ConfigurationLineage.after(3).skip()).isEqualTo(new ConfigurationLineage(5, 3, true));
	}

	// One process reads the stream whole; another starts somewhere in it after a gap, and
	// a third takes a version from a peer and reads on from there. They may know less,
	// but never take a record that the first one finds superseded.
	@Property(seed = "2026")
	void processesThatStartLateNeverContradictOneThatReadAll(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 3) Integer> staleness,
			@ForAll @IntRange(min = 0, max = 30) int start) {
		List<Long> bases = new ArrayList<>();
		List<Effect> truth = new ArrayList<>();
		List<Long> versions = new ArrayList<>(List.of(ConfigurationLineage.NONE));
		ConfigurationLineage whole = ConfigurationLineage.atStart();
		for (int stale : staleness) {
			bases.add(versions.get(Math.max(0, versions.size() - 1 - stale)));
			Decision decision = whole.read(bases.getLast());
			truth.add(decision.effect());
			if (decision.effect() == Effect.TAKEN) {
				versions.add(whole.next());
			}
			whole = decision.after();
		}
		ConfigurationLineage late = ConfigurationLineage.atStart().afterGap(start);
		while (late.next() < bases.size()) {
			int offset = (int) late.next();
			Decision decision = late.read(bases.get(offset));
			if (decision.effect() != Effect.UNDECIDED) {
				assertThat(decision.effect()).isEqualTo(truth.get(offset));
			}
			late = decision.after();
		}
		for (long version : versions) {
			assertThat(effectsAfter(version, bases)).isEqualTo(truth.subList((int) version + 1, truth.size()));
		}
	}

	private static List<Effect> effectsAfter(long version, List<Long> bases) {
		List<Effect> effects = new ArrayList<>();
		ConfigurationLineage lineage = ConfigurationLineage.after(version);
		while (lineage.next() < bases.size()) {
			Decision decision = lineage.read(bases.get((int) lineage.next()));
			effects.add(decision.effect());
			lineage = decision.after();
		}
		return effects;
	}

}
