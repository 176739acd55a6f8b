package io.lentilslip.core.notice;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class NoticeCodeTests {

	@Test
	void numbersAreUniqueAndAscend() {
		assertThat(Arrays.stream(NoticeCode.values()).map(NoticeCode::number)).isSorted().doesNotHaveDuplicates();
	}

	@ParameterizedTest
	@EnumSource
	void codeHasMeaningActionAndRange(NoticeCode code) {
		assertThat(code.meaning()).matches("[A-Z][^|\\n]+\\.");
		assertThat(code.action()).matches("[A-Z][^|\\n]+\\.");
		assertThat(code.range().ordinal() + 1).isEqualTo(code.number() / 1000);
		assertThat(code.fields()).doesNotContain(FieldName.PROCESS);
	}

}
