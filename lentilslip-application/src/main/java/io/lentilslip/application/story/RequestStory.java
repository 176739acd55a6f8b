package io.lentilslip.application.story;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;

/**
 * What became of one request at all processes, in order of time, and for each decision
 * what its process believed then and for how long. Lines of several processes are put in
 * order by the clocks of their VMs, which may differ. Used by one thread.
 */
public final class RequestStory {

	/**
	 * What a process believes of itself: the newest of each kind counts.
	 */
	private static final Set<NoticeCode> OF_PROCESS = EnumSet.of(NoticeCode.ROUTES_ACCEPTED, NoticeCode.REACH_CHANGED,
			NoticeCode.RELAY_WOKEN, NoticeCode.LOG_CAUGHT_UP, NoticeCode.PEER_LOST, NoticeCode.PEER_LINKED,
			NoticeCode.PEER_FORGOTTEN, NoticeCode.DRAINING_BEGAN, NoticeCode.DECISION_FAILED, NoticeCode.LINES_DROPPED,
			NoticeCode.EVENTS_HELD_BACK);

	/**
	 * What a process believes of one upstream: the newest of all counts.
	 */
	private static final Set<NoticeCode> OF_UPSTREAM = EnumSet.of(NoticeCode.UPSTREAM_LISTED,
			NoticeCode.UPSTREAM_LEAVING, NoticeCode.UPSTREAM_GONE);

	private static final Map<Integer, NoticeCode> BELIEFS = beliefs();

	private final String request;

	private final List<LogLine> lines = new ArrayList<>();

	private final List<LogLine> beliefs = new ArrayList<>();

	private long unread;

	/**
	 * Creates the story of a request without any lines.
	 * @param request the id that the caller gave the request
	 */
	public RequestStory(String request) {
		this.request = request;
	}

	private static Map<Integer, NoticeCode> beliefs() {
		Set<NoticeCode> all = EnumSet.copyOf(OF_PROCESS);
		all.addAll(OF_UPSTREAM);
		all.add(NoticeCode.ATTEMPT_FAILED);
		return all.stream().collect(Collectors.toUnmodifiableMap(NoticeCode::number, (code) -> code));
	}

	/**
	 * Takes a line of a log, in any order.
	 * @param text the line
	 */
	public void add(String text) {
		Optional<LogLine> line = LogLine.of(text);
		if (line.isEmpty()) {
			this.unread += text.isBlank() ? 0 : 1;
			return;
		}
		if (line.get().field(FieldName.REQUEST).equals(this.request)) {
			this.lines.add(line.get());
		}
		else if (BELIEFS.containsKey(line.get().number())) {
			this.beliefs.add(line.get());
		}
	}

	/**
	 * Returns whether any line names the request.
	 * @return whether one does
	 */
	public boolean isKnown() {
		return !this.lines.isEmpty();
	}

	/**
	 * Returns how many lines are no events of the project.
	 * @return the number
	 */
	public long unread() {
		return this.unread;
	}

	/**
	 * Returns the story as text.
	 * @return a line for each event of the request, each followed by what it rested on
	 */
	public String text() {
		this.lines.sort(Comparator.comparing(LogLine::time));
		this.beliefs.sort(Comparator.comparing(LogLine::time));
		StringBuilder text = new StringBuilder();
		for (LogLine line : this.lines) {
			text.append(line.time()).append("  ").append(describe(line, "")).append(System.lineSeparator());
			for (LogLine belief : restingOn(line)) {
				Duration age = Duration.between(belief.time(), line.time());
				text.append("    ").append(seconds(age)).append(" s before: ");
				text.append(describe(belief, line.process())).append(System.lineSeparator());
			}
		}
		return text.toString();
	}

	private List<LogLine> restingOn(LogLine line) {
		Map<String, LogLine> newest = new HashMap<>();
		for (LogLine belief : this.beliefs) {
			if (belief.process().equals(line.process()) && !belief.time().isAfter(line.time())) {
				subject(belief, line).ifPresent((subject) -> newest.put(subject, belief));
			}
		}
		return newest.values().stream().sorted(Comparator.comparing(LogLine::time)).toList();
	}

	/**
	 * Returns what a belief is about. A later one about the same replaces it.
	 * @param belief the belief
	 * @param line the event that may rest on it
	 * @return the subject, or empty if the event does not rest on such beliefs
	 */
	private static Optional<String> subject(LogLine belief, LogLine line) {
		NoticeCode code = BELIEFS.get(belief.number());
		if (OF_PROCESS.contains(code)) {
			return Optional.of(code.name());
		}
		if (!concerns(belief, line)) {
			return Optional.empty();
		}
		return Optional.of(OF_UPSTREAM.contains(code) ? "listing" : code.name());
	}

	private static boolean concerns(LogLine belief, LogLine line) {
		String upstream = line.field(FieldName.UPSTREAM);
		return !upstream.isEmpty()
				&& (belief.field(FieldName.UPSTREAM).equals(upstream) || belief.field(FieldName.VM).equals(upstream));
	}

	private String describe(LogLine line, String process) {
		StringBuilder text = new StringBuilder();
		text.append('E').append(line.number()).append(' ').append(line.name());
		line.fields().forEach((name, value) -> {
			boolean known = name.equals(FieldName.REQUEST.label()) && value.equals(this.request);
			if (!known && !value.equals(process)) {
				text.append(' ').append(name).append('=').append(value.contains(" ") ? ("'" + value + "'") : value);
			}
		});
		return text.toString();
	}

	private static String seconds(Duration age) {
		return String.format(Locale.ROOT, "%.3f", age.toNanos() / (double) Duration.ofSeconds(1).toNanos());
	}

}
