package io.lentilslip.verification.capacity;

import java.nio.file.Path;
import java.util.List;

import io.lentilslip.verification.capacity.Sample.Unit;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class FitsTests {

	private static final Offset<Double> ROUNDING = Offset.offset(0.0001);

	private static final Path RESULTS = Path.of("..", "docs", "capacity");

	@Test
	void drawsTheLineThroughPointsOnIt() {
		Fit fit = Fits.through(List.of(new Sample("q", 1, 12, Unit.BYTES, 1), new Sample("q", 2, 14, Unit.BYTES, 1),
				new Sample("q", 5, 20, Unit.BYTES, 1)))
			.of("q");
		assertThat(fit.slope()).isCloseTo(2, ROUNDING);
		assertThat(fit.at(100)).isCloseTo(210, ROUNDING);
		assertThat(fit.rSquared()).isCloseTo(1, ROUNDING);
	}

	@Test
	void refusesAQuantityThatWasNotMeasured() {
		Fits fits = Fits.through(List.of(new Sample("q", 1, 12, Unit.BYTES, 1)));
		assertThatIllegalArgumentException().isThrownBy(() -> fits.of("r")).withMessageContaining("r");
	}

	@Test
	void theLinesBesideThePageAreThoseOfTheSamples() {
		ResultFiles results = new ResultFiles(RESULTS);
		List<Fit> computed = Fits.through(results.samples()).all();
		assertThat(computed).hasSizeGreaterThan(30);
		assertThat(results.fits().all()).usingRecursiveComparison()
			.withComparatorForType((one, other) -> (Math.abs(one - other) < 0.001) ? 0 : Double.compare(one, other),
					Double.class)
			.isEqualTo(computed);
	}

}
