package io.lentilslip.telemetry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NoticesTests {

	private final List<Notice> written = new ArrayList<>();

	private final AtomicLong second = new AtomicLong(7);

	private final Notices limited = new Notices.Limited(this.written::add, 3, this.second::get);

	// An upstream fails on every request. Three lines a second tell it as well as
	// thousands, which would fill the store of the log and hide all else.
	@Test
	void noticesBeyondTheLimitAreSummedUp() {
		write(NoticeCode.ATTEMPT_FAILED, 10);
		write(NoticeCode.REQUEST_REFUSED, 1);
		assertThat(this.written).hasSize(4);
		this.second.incrementAndGet();
		write(NoticeCode.ATTEMPT_FAILED, 1);
		assertThat(this.written).hasSize(6);
		Notice summary = this.written.get(4);
		assertThat(summary).isEqualTo(NoticeCode.EVENTS_HELD_BACK.with(FieldName.KEY, 4017)
			.with(FieldName.COUNT, 7)
			.with(FieldName.LIMIT, 3));
	}

	@Test
	void nextSecondWritesAgain() {
		write(NoticeCode.REQUEST_ANSWERED, 5);
		this.second.incrementAndGet();
		write(NoticeCode.REQUEST_ANSWERED, 5);
		assertThat(this.written).filteredOn((notice) -> notice.code() == NoticeCode.REQUEST_ANSWERED).hasSize(6);
		assertThat(this.written).hasSize(7);
	}

	private void write(NoticeCode code, int times) {
		for (int i = 0; i < times; i++) {
			this.limited.write(code.with(FieldName.REQUEST, "r" + i));
		}
	}

}
