package io.lentilslip.application.story;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestStoryTests {

	private final RequestStory story = new RequestStory("r1");

	@Test
	void eventsOfAllProcessesStandInOrderOfTime() {
		add("05.300", "relay-b", "E4018 REQUEST_REFUSED", "\"request\":\"r1\",\"reason\":\"LOG_LOST\"");
		add("05.100", "relay-a", "E4022 REQUEST_PLACED", "\"request\":\"r1\",\"upstream\":\"u1\"");
		add("05.200", "relay-a", "E4018 REQUEST_REFUSED", "\"request\":\"r2\",\"reason\":\"ISOLATED\"");
		assertThat(lines()).containsExactly(
				"2026-06-07T05:12:05.100Z  E4022 REQUEST_PLACED process=relay-a upstream=u1",
				"2026-06-07T05:12:05.300Z  E4018 REQUEST_REFUSED process=relay-b reason=LOG_LOST");
	}

	@Test
	void decisionIsFollowedByWhatItsProcessBelievedThen() {
		add("01.000", "relay-a", "E2007 ROUTES_ACCEPTED", "\"version\":\"3\"");
		add("02.000", "relay-a", "E2007 ROUTES_ACCEPTED", "\"version\":\"4\"");
		add("02.500", "relay-b", "E2007 ROUTES_ACCEPTED", "\"version\":\"5\"");
		add("04.000", "relay-a", "E3011 REACH_CHANGED", "\"reason\":\"RELAYS\"");
		add("05.100", "relay-a", "E4018 REQUEST_REFUSED", "\"request\":\"r1\",\"reason\":\"LOG_LOST\"");
		add("06.000", "relay-a", "E3011 REACH_CHANGED", "\"reason\":\"LOG\"");
		assertThat(lines()).containsExactly(
				"2026-06-07T05:12:05.100Z  E4018 REQUEST_REFUSED process=relay-a reason=LOG_LOST",
				"    3.100 s before: E2007 ROUTES_ACCEPTED version=4",
				"    1.100 s before: E3011 REACH_CHANGED reason=RELAYS");
	}

	@Test
	void placementIsFollowedByWhatWasKnownOfItsUpstream() {
		add("01.000", "relay-a", "E3009 UPSTREAM_LISTED", "\"upstream\":\"u1\"");
		add("01.000", "relay-a", "E3009 UPSTREAM_LISTED", "\"upstream\":\"u2\"");
		add("03.000", "relay-a", "E4017 ATTEMPT_FAILED", "\"request\":\"r0\",\"upstream\":\"u1\"");
		add("04.000", "relay-a", "E3003 UPSTREAM_LEAVING", "\"vm\":\"u1\"");
		add("05.000", "relay-a", "E4022 REQUEST_PLACED", "\"request\":\"r1\",\"upstream\":\"u1\"");
		assertThat(lines()).containsExactly("2026-06-07T05:12:05Z  E4022 REQUEST_PLACED process=relay-a upstream=u1",
				"    2.000 s before: E4017 ATTEMPT_FAILED request=r0 upstream=u1",
				"    1.000 s before: E3003 UPSTREAM_LEAVING vm=u1");
	}

	@Test
	void whatACollectorPutsBeforeALineIsPassedOver() {
		this.story.add("12.3 relay-a | " + line("05.100", "relay-a", "E4020 REQUEST_ANSWERED", "\"request\":\"r1\""));
		assertThat(this.story.isKnown()).isTrue();
		assertThat(this.story.unread()).isZero();
	}

	@Test
	void linesOfOthersAreCounted() {
		this.story.add("{\"message\":\"hello\"}");
		this.story.add("{\"message\":\"E4020 REQUEST_ANSWERED\",\"@timestamp\":\"yesterday\"}");
		this.story.add("{\"message\":\"E4020 REQUEST_ANS");
		this.story.add("");
		assertThat(this.story.isKnown()).isFalse();
		assertThat(this.story.unread()).isEqualTo(3);
	}

	private void add(String second, String process, String message, String fields) {
		this.story.add(line(second, process, message, fields));
	}

	private static String line(String second, String process, String message, String fields) {
		return "{\"@timestamp\":\"2026-06-07T05:12:" + second + "000000Z\",\"message\":\"" + message
				+ "\",\"level\":\"INFO\",\"process\":\"" + process + "\"," + fields + "}";
	}

	private List<String> lines() {
		return this.story.text().lines().toList();
	}

}
