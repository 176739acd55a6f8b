package io.lentilslip.runtime.node;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StopSignalsTests {

	private final List<String> done = new ArrayList<>();

	private final StopSignals signals = new StopSignals();

	@Test
	void firstSignalDrainsAndSecondEnds() {
		this.signals.onSecond(() -> this.done.add("second"));
		this.signals.onFirst(() -> this.done.add("first"));
		this.signals.signal();
		assertThat(this.done).containsExactly("first");
		this.signals.signal();
		this.signals.signal();
		assertThat(this.done).containsExactly("first", "second");
	}

	// The platform stops the VM while the process still reads its settings. The signal
	// is kept and acted on as soon as there is something to drain.
	@Test
	void signalAtTheVeryStartIsKept() {
		this.signals.signal();
		this.signals.onFirst(() -> this.done.add("first"));
		assertThat(this.done).containsExactly("first");
	}

	@Test
	void secondSignalAtTheVeryStartIsKept() {
		assertThat(this.signals.isRequested()).isFalse();
		this.signals.signal();
		this.signals.signal();
		assertThat(this.signals.isRequested()).isTrue();
		this.signals.onSecond(() -> this.done.add("second"));
		assertThat(this.done).containsExactly("second");
	}

}
