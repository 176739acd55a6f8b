package io.lentilslip.core.notice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class NoticeTests {

	@Test
	void fieldsKeepInsertionOrder() {
		Notice notice = NoticeCode.PROGRAM_CLAIMED.with(FieldName.EPOCH, 4L).with(FieldName.PROGRAM, "sellers/draft");
		assertThat(notice.code()).isEqualTo(NoticeCode.PROGRAM_CLAIMED);
		assertThat(notice.fields()).containsExactly(new NoticeField(FieldName.EPOCH, "4"),
				new NoticeField(FieldName.PROGRAM, "sellers/draft"));
	}

	@Test
	void fieldNotListedByTheCodeIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> NoticeCode.PROGRAM_CLAIMED.with(FieldName.FILE, "a.ini"))
			.withMessage("PROGRAM_CLAIMED does not list the field FILE");
	}

	@Test
	void duplicateFieldIsRejected() {
		Notice notice = NoticeCode.PROGRAM_CLAIMED.with(FieldName.EPOCH, 4L);
		assertThatIllegalArgumentException().isThrownBy(() -> notice.with(FieldName.EPOCH, 5L))
			.withMessage("PROGRAM_CLAIMED has the field EPOCH twice");
	}

}
