package io.lentilslip.application.status;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TextTableTests {

	@Test
	void columnsAreAsWideAsTheirLongestCell() {
		TextTable table = new TextTable("group", "calls");
		table.add("buyers-desk", 7);
		assertThat(table.text().lines()).containsExactly("group        calls", "buyers-desk      7");
	}

	@Test
	void rowNeedsACellForEachColumn() {
		TextTable table = new TextTable("group", "calls");
		assertThatIllegalArgumentException().isThrownBy(() -> table.add("buyers"));
	}

}
