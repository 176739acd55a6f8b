package io.lentilslip.runtime;

import java.time.Instant;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.ProcessContext;

/**
 * A context of a process whose clock stands still and that keeps what is reported. Pauses
 * take no time.
 */
public final class RecordingContext {

	public static final Instant NOW = Instant.parse("2026-01-02T03:04:05Z");

	private final Queue<Notice> notices = new ConcurrentLinkedQueue<>();

	private final Queue<Measurement> measurements = new ConcurrentLinkedQueue<>();

	private final CompletableFuture<Throwable> failure = new CompletableFuture<>();

	public ProcessContext context() {
		return context((duration) -> {
		});
	}

	public ProcessContext context(Pause pause) {
		return new ProcessContext(() -> NOW, () -> 1, pause, this.measurements::add, this.notices::add,
				this.failure::complete);
	}

	public List<NoticeCode> codes() {
		return this.notices.stream().map(Notice::code).toList();
	}

	public List<Notice> notices() {
		return List.copyOf(this.notices);
	}

	public List<Measurement> measurements() {
		return List.copyOf(this.measurements);
	}

	public CompletableFuture<Throwable> failure() {
		return this.failure;
	}

}
