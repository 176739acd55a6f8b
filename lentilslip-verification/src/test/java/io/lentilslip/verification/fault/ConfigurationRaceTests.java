package io.lentilslip.verification.fault;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.lentilslip.runtime.configuration.Base;
import io.lentilslip.runtime.configuration.PublicationOutcome;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What operators see who publish at the same time.
 */
class ConfigurationRaceTests extends SiteFixture {

	private static final int OPERATORS = 4;

	// Some operators publish from the same base at once. One wins, the others are told
	// which version came first, and every process shows the winner's. A sidecar that
	// starts again while the log is down gets it from an entry, not an older one.
	@Test
	void operatorsPublishAtOnce() {
		Site site = start(SitePlan.of(2, 1, 1));
		Base base = new Base.Version(site.entry(1).status().path("configuration_version").asLong());
		List<CompletableFuture<PublicationOutcome>> publications = IntStream.range(0, OPERATORS)
			.mapToObj((operator) -> CompletableFuture
				.supplyAsync(() -> site.publish(site.configuration("[group new-" + operator + "]\nshare = 1\n"), base)))
			.toList();
		List<PublicationOutcome> outcomes = publications.stream().map(CompletableFuture::join).toList();
		List<Long> won = outcomes.stream()
			.filter(PublicationOutcome.Won.class::isInstance)
			.map((outcome) -> ((PublicationOutcome.Won) outcome).version())
			.toList();
		assertThat(won).as(outcomes.toString()).hasSize(1);
		assertThat(outcomes.stream().filter(PublicationOutcome.LostTo.class::isInstance))
			.extracting((outcome) -> ((PublicationOutcome.LostTo) outcome).version())
			.hasSize(OPERATORS - 1)
			.containsOnly(won.getFirst());
		awaitVersion(site, won.getFirst());
		site.process("engine-1").kill();
		site.log().setAvailability(new Availability.Refusing());
		site.restartSidecar("engine-1");
		awaitVersion(site, won.getFirst());
	}

	private static void awaitVersion(Site site, long version) {
		site.processes()
			.forEach((process) -> Waiting.until(process.vm() + " to have version " + version,
					() -> process.status().path("configuration_version").asLong() == version));
	}

}
