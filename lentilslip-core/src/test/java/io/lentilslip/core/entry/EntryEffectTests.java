package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.link.LinkMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryEffectTests {

	private final EntrySite site = EntrySite.ready();

	// Guards against granting a sidecar the time for which a call was queued in the
	// entry.
	@Test
	void timeoutOfACallIsReducedByTheDelayBeforeItsSend() {
		this.site.call(EntrySite.model(Optional.of(new ProgramName("p")), Optional.of(1), HistoryMode.NEW, "m"));
		this.site.readAppended();
		EntryEffect.Send send = this.site.latestDispatch();
		Duration timeout = timeoutAt(send, send.decidedAt());
		assertThat(timeoutAt(send, send.decidedAt().plusMillis(649))).isEqualTo(timeout.minusMillis(649));
		assertThat(timeoutAt(send, send.decidedAt().plus(timeout).plusMillis(1))).isEqualTo(Duration.ZERO);
	}

	private static Duration timeoutAt(EntryEffect.Send send, Instant now) {
		return ((LinkMessage.Dispatch) send.messageAt(now)).timeout();
	}

}
