package io.lentilslip.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A deterministic model of an engine that batches continuously. Requests are admitted
 * first come, first served, without priorities: the first that waits blocks those behind
 * it until a place in the batch and memory for its whole sequence are free. Each step
 * computes some prompt tokens and one token of each request past its prompt. It knows no
 * clock and no I/O: time comes in with each step. Invariants: memory in use never exceeds
 * its total, pinned sessions are not evicted, and a request that ended holds nothing but
 * its pin. Not safe for use by several threads.
 */
public final class BatchingModel {

	private final EngineLimits limits;

	private final EngineTiming timing;

	private final BlockMemory memory;

	private final LinkedList<ModelRequest> waiting = new LinkedList<>();

	private final Map<Long, Sequence> running = new LinkedHashMap<>();

	private final Map<String, Pinned> sessions = new LinkedHashMap<>();

	private long prefilledTokens;

	private long generatedTokens;

	/**
	 * Creates a model without requests, with an empty memory.
	 * @param limits the engine's bounds
	 * @param timing how long its work takes
	 */
	public BatchingModel(EngineLimits limits, EngineTiming timing) {
		this(limits, timing, BlockMemory.Listener.noOp());
	}

	/**
	 * Creates a model that tells of blocks that come and go.
	 * @param limits the engine's bounds
	 * @param timing how long its work takes
	 * @param listener what is told of blocks
	 */
	BatchingModel(EngineLimits limits, EngineTiming timing, BlockMemory.Listener listener) {
		this.limits = limits;
		this.timing = timing;
		this.memory = new BlockMemory(limits.memoryBlocks(), listener);
	}

	/**
	 * Takes a request into the queue, if it can ever run.
	 * @param request the request, with a number that was not used before
	 * @return whether it waits now, or why not
	 */
	public Admission submit(ModelRequest request) {
		if (request.blocks() > this.limits.memoryBlocks()) {
			return Admission.TOO_LONG;
		}
		if (this.waiting.size() >= this.limits.waiting()) {
			return Admission.QUEUE_FULL;
		}
		this.waiting.add(request);
		return Admission.QUEUED;
	}

	/**
	 * Ends a request before its time and frees what it holds. A pin that its session had
	 * before stays.
	 * @param number the request's number
	 * @return what the request was doing
	 */
	public Cancellation cancel(long number) {
		if (this.waiting.removeIf((request) -> request.number() == number)) {
			return Cancellation.NOT_STARTED;
		}
		Sequence sequence = this.running.remove(number);
		if (sequence == null) {
			return Cancellation.UNKNOWN;
		}
		if (sequence.promptLeft == 0) {
			this.memory.publish(sequence.allocation, sequence.chain);
		}
		this.memory.release(sequence.allocation);
		return Cancellation.STOPPED;
	}

	/**
	 * Runs one step of the batch.
	 * @param now the present time in nanoseconds, for leases
	 * @return how long it takes and what happens in it; empty when nothing can run
	 */
	public Optional<Step> step(long now) {
		expire(now);
		List<ModelEvent> events = new ArrayList<>();
		admit(events);
		if (this.running.isEmpty()) {
			return Optional.empty();
		}
		int budget = this.limits.prefillTokensPerStep();
		int decoding = 0;
		for (Sequence sequence : List.copyOf(this.running.values())) {
			if (sequence.promptLeft == 0) {
				decoding++;
			}
			budget -= advance(sequence, budget, events, now);
		}
		int prefilled = this.limits.prefillTokensPerStep() - budget;
		return Optional.of(new Step(this.timing.stepNanos(prefilled, decoding), events));
	}

	private void admit(List<ModelEvent> events) {
		while (!this.waiting.isEmpty() && this.running.size() < this.limits.batch()) {
			ModelRequest request = this.waiting.peek();
			Optional<BlockMemory.Allocation> allocation = this.memory.allocate(request.prompt(), request.blocks());
			if (allocation.isEmpty()) {
				return;
			}
			this.waiting.remove();
			Sequence sequence = new Sequence(request, allocation.get());
			this.running.put(request.number(), sequence);
			events.add(new ModelEvent.Started(request.number(), request.prompt().tokens() - sequence.promptLeft));
		}
	}

	private int advance(Sequence sequence, int budget, List<ModelEvent> events, long now) {
		int prefilled = Math.min(budget, sequence.promptLeft);
		boolean promptEnds = prefilled > 0 && prefilled == sequence.promptLeft;
		sequence.promptLeft -= prefilled;
		this.prefilledTokens += prefilled;
		if (sequence.promptLeft > 0) {
			return prefilled;
		}
		if (promptEnds) {
			this.memory.publish(sequence.allocation, sequence.chain);
		}
		generate(sequence, events);
		if (sequence.generated == sequence.request.answer().count()) {
			finish(sequence, now);
			events.add(new ModelEvent.Finished(sequence.request.number()));
		}
		return prefilled;
	}

	private void generate(Sequence sequence, List<ModelEvent> events) {
		AnswerPlan answer = sequence.request.answer();
		if (sequence.generated == answer.count()) {
			return;
		}
		int position = answer.from() + sequence.generated;
		sequence.chain.append(answer.token(position));
		sequence.generated++;
		this.generatedTokens++;
		events.add(new ModelEvent.Generated(sequence.request.number(), position));
	}

	private void finish(Sequence sequence, long now) {
		this.running.remove(sequence.request.number());
		this.memory.publish(sequence.allocation, sequence.chain);
		Optional<ModelRequest.Pin> pin = sequence.request.pin();
		if (pin.isEmpty() || sequence.pinRevoked) {
			this.memory.release(sequence.allocation);
			return;
		}
		pin(pin.get(), sequence.chain, sequence.allocation, now);
	}

	private void pin(ModelRequest.Pin pin, BlockChain chain, BlockMemory.Allocation allocation, long now) {
		drop(pin.session());
		if (this.sessions.size() >= this.limits.sessions()) {
			this.memory.release(allocation);
			return;
		}
		this.memory.shrink(allocation, BlockChain.blocksFor(chain.tokens()) - chain.fullBlocks());
		OptionalLong end = pin.leaseNanos().map((lease) -> OptionalLong.of(now + lease)).orElseGet(OptionalLong::empty);
		this.sessions.put(pin.session(), new Pinned(new PinnedSession(pin.session(), chain, end), allocation));
	}

	/**
	 * Ends a session's pin. Requests of the session that wait or run now will not pin it
	 * again: without this a release that overtakes the end of the session's last request
	 * would leave a pin behind that nobody releases.
	 * @param session the session's name
	 * @return whether the session was pinned
	 */
	public boolean release(String session) {
		this.waiting.replaceAll((request) -> request.withoutPinOf(session));
		for (Sequence sequence : this.running.values()) {
			if (sequence.pins(session)) {
				sequence.pinRevoked = true;
			}
		}
		return drop(session);
	}

	private boolean drop(String session) {
		Pinned pinned = this.sessions.remove(session);
		if (pinned == null) {
			return false;
		}
		this.memory.release(pinned.allocation());
		return true;
	}

	/**
	 * Ends the pins whose leases have ended.
	 * @param now the present time in nanoseconds
	 */
	public void expire(long now) {
		Iterator<Pinned> iterator = this.sessions.values().iterator();
		while (iterator.hasNext()) {
			Pinned pinned = iterator.next();
			if (pinned.session().hasEnded(now)) {
				iterator.remove();
				this.memory.release(pinned.allocation());
			}
		}
	}

	/**
	 * Pins a session whose blocks were computed by another engine.
	 * @param pin the session and its lease
	 * @param chain the session's blocks
	 * @param now the present time in nanoseconds
	 * @return whether there was memory for it
	 */
	public boolean importSession(ModelRequest.Pin pin, BlockChain chain, long now) {
		Optional<BlockMemory.Allocation> allocation = this.memory.allocate(chain, BlockChain.blocksFor(chain.tokens()));
		if (allocation.isEmpty()) {
			return false;
		}
		this.memory.publish(allocation.get(), chain);
		pin(pin, chain.copy(), allocation.get(), now);
		return this.sessions.containsKey(pin.session());
	}

	/**
	 * Returns the pinned sessions.
	 * @return the sessions in the order of their pins
	 */
	public List<PinnedSession> sessions() {
		return this.sessions.values().stream().map(Pinned::session).toList();
	}

	/**
	 * Returns a pinned session.
	 * @param session the session's name
	 * @return the session, or empty if it is not pinned
	 */
	public Optional<PinnedSession> session(String session) {
		return Optional.ofNullable(this.sessions.get(session)).map(Pinned::session);
	}

	/**
	 * Returns the number of requests that run.
	 * @return the number of requests in the batch
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the number of requests in the queue
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns the tokens of memory that running requests and pinned sessions hold.
	 * @return the tokens, in whole blocks
	 */
	public int heldTokens() {
		return this.memory.heldBlocks() * BlockChain.BLOCK_TOKENS;
	}

	/**
	 * Returns the tokens of memory that are cached and may be evicted.
	 * @return the tokens, in whole blocks
	 */
	public int evictableTokens() {
		return this.memory.evictableBlocks() * BlockChain.BLOCK_TOKENS;
	}

	/**
	 * Returns the prompt tokens computed so far, without those found in memory.
	 * @return the number of tokens
	 */
	public long prefilledTokens() {
		return this.prefilledTokens;
	}

	/**
	 * Returns the tokens generated so far.
	 * @return the number of tokens
	 */
	public long generatedTokens() {
		return this.generatedTokens;
	}

	/**
	 * Whether a request was taken into the queue.
	 */
	public enum Admission {

		/**
		 * It waits for its turn.
		 */
		QUEUED,

		/**
		 * The queue is full.
		 */
		QUEUE_FULL,

		/**
		 * Its sequence is longer than the whole memory.
		 */
		TOO_LONG

	}

	/**
	 * What a cancelled request was doing.
	 */
	public enum Cancellation {

		/**
		 * It had not started and never will.
		 */
		NOT_STARTED,

		/**
		 * It was running and was stopped.
		 */
		STOPPED,

		/**
		 * It has ended already or never came.
		 */
		UNKNOWN

	}

	/**
	 * One step of the batch.
	 *
	 * @param nanos how long it takes in the engine's time
	 * @param events what happens in it, in order
	 */
	public record Step(long nanos, List<ModelEvent> events) {

	}

	/**
	 * A session whose sequence stays in memory.
	 *
	 * @param name the session's name
	 * @param chain its tokens, not to be appended to
	 * @param leaseEnd when the pin ends by itself, if it does
	 */
	public record PinnedSession(String name, BlockChain chain, OptionalLong leaseEnd) {

		private boolean hasEnded(long now) {
			return this.leaseEnd.isPresent() && now - this.leaseEnd.getAsLong() >= 0;
		}

	}

	private record Pinned(PinnedSession session, BlockMemory.Allocation allocation) {

	}

	private static final class Sequence {

		private final ModelRequest request;

		private final BlockMemory.Allocation allocation;

		private final BlockChain chain;

		private int promptLeft;

		private int generated;

		private boolean pinRevoked;

		private Sequence(ModelRequest request, BlockMemory.Allocation allocation) {
			this.request = request;
			this.allocation = allocation;
			this.chain = request.prompt().copy();
			int cached = allocation.sharedBlocks() * BlockChain.BLOCK_TOKENS;
			// The last prompt token is computed even if all are cached: it yields the
			// first token of the answer.
			this.promptLeft = Math.max(1, request.prompt().tokens() - cached);
		}

		private boolean pins(String session) {
			return this.request.pin().filter((pin) -> pin.session().equals(session)).isPresent();
		}

	}

}
