package io.lentilslip.standin.log;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoredStreamTests {

	private static final LogLimits LIMITS = new LogLimits(1, 5, Duration.ofNanos(100), 40, 1, 1);

	// Records of arbitrary length come at arbitrary moments. Whatever has passed
	// retention, a reader sees no hole, and the bounds on memory hold.
	@Property(tries = 300, seed = "4719913847987726893")
	void offsetsHaveNoHolesAndTheBoundsHold(@ForAll @Size(max = 40) List<@IntRange(max = 60) Integer> steps) {
		StoredStream stream = new StoredStream(LIMITS);
		long now = 0;
		for (int step : steps) {
			now += step;
			assertThat(stream.append(new byte[step], 0, now)).isEqualTo(stream.next() - 1);
			Page page = stream.read(0, Integer.MAX_VALUE, now);
			assertThat(page.next()).isEqualTo(stream.next());
			assertThat(page.records()).hasSize((int) (page.next() - page.first())).hasSizeLessThanOrEqualTo(5);
			for (int i = 0; i < page.records().size(); i++) {
				assertThat(page.records().get(i).offset()).isEqualTo(page.first() + i);
			}
			int bytes = page.records().stream().mapToInt((entry) -> entry.data().length).sum();
			assertThat(bytes <= LIMITS.keptBytes() || page.records().size() == 1).isTrue();
		}
	}

	@Test
	void aPageIsBoundedInBytesButHoldsOneRecord() {
		StoredStream stream = new StoredStream(LogLimits.defaults());
		for (int i = 0; i < 3; i++) {
			stream.append(new byte[3 * 1024 * 1024], 0, 0);
		}
		assertThat(stream.read(0, 10, 0).records()).hasSize(1);
		assertThat(stream.read(2, 10, 0).records()).hasSize(1);
	}

}
