package io.lentilslip.verification.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class CapacityTableTests {

	private static final Path DOCUMENTS = Path.of("..", "docs");

	private final CapacityTable table = CapacityTable.from(new ResultFiles(DOCUMENTS.resolve("capacity")).fits());

	@Test
	void thePageHoldsWhatFollowsFromTheLines() throws IOException {
		String page = Files.readString(DOCUMENTS.resolve("CAPACITY.md"));
		assertThat(page).isEqualTo(this.table.putInto(page));
	}

	@Test
	void eachFigureNamesWhatItComesFrom() {
		assertThat(this.table.figures()).allSatisfy((figure) -> {
			assertThat(figure.value()).as(figure.matter()).isPositive().isFinite();
			assertThat(figure.step()).isNotBlank();
		}).anyMatch((figure) -> !figure.fits().isEmpty() && !figure.isWithinLimit());
	}

	@Test
	void refusesAPageWithoutMarks() {
		assertThatIllegalArgumentException().isThrownBy(() -> this.table.putInto(CapacityTable.END));
	}

}
