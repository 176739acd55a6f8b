package io.lentilslip.client.engine;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A listener that keeps what it is told. Safe for use by several threads.
 */
final class RecordingListener implements GenerationListener {

	private static final long PATIENCE_SECONDS = 30;

	private final CompletableFuture<Void> started = new CompletableFuture<>();

	private final CompletableFuture<Void> firstToken = new CompletableFuture<>();

	private final CompletableFuture<Object> end = new CompletableFuture<>();

	private final StringBuffer text = new StringBuffer();

	private volatile int tokens;

	private volatile int ends;

	@Override
	public void started() {
		this.started.complete(null);
	}

	@Override
	public void token(String delta) {
		this.text.append(delta);
		this.tokens++;
		this.firstToken.complete(null);
	}

	@Override
	public void finished(GenerationEnd finished) {
		this.ends++;
		this.end.complete(finished);
	}

	@Override
	public void failed(EngineFailure failure) {
		this.ends++;
		this.end.complete(failure);
	}

	RecordingListener awaitStart() {
		this.started.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS).join();
		return this;
	}

	RecordingListener awaitFirstToken() {
		this.firstToken.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS).join();
		return this;
	}

	GenerationEnd awaitFinished() {
		return (GenerationEnd) awaitEnd();
	}

	EngineFailure awaitFailed() {
		return (EngineFailure) awaitEnd();
	}

	private Object awaitEnd() {
		return this.end.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS).join();
	}

	String text() {
		return this.text.toString();
	}

	int tokens() {
		return this.tokens;
	}

	int ends() {
		return this.ends;
	}

}
