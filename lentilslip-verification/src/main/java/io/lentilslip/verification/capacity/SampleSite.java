package io.lentilslip.verification.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.settings.folder.ConfigurationReader;

/**
 * The values of a made-up site, the same on every run: group number i is
 * {@code group-00000i}, and so on. Names have the lengths that the documentation of the
 * wire states its sizes for. Stateless and safe for use by several threads.
 */
final class SampleSite {

	static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

	static final ZoneName ZONE = new ZoneName("zone-0");

	static final ModelName MODEL = new ModelName("model-0");

	static final ProcessId ENTRY = new ProcessId(new VmName("entry-00000000000"), new Incarnation(7));

	static final int MODELS = 23;

	static final int ZONES = 7;

	private static final int GROUPS = 1500;

	private static final int RUNNERS = 1700;

	private static final int PORT = 7000;

	private static final String BUDGET = "budget_tokens = 40000000\nbudget_period = 1h";

	private static final String NO_BUDGET = "# The calls measured are of this group, which has no budget.";

	private SampleSite() {
	}

	static ProcessId sidecar(int number) {
		return new ProcessId(vm(number), new Incarnation(1000 + number));
	}

	private static VmName vm(int number) {
		return new VmName("runner-%010d".formatted(number));
	}

	static GroupName group(int number) {
		return new GroupName("group-%06d".formatted(number % GROUPS));
	}

	static ProgramId program(int group, int number) {
		return new ProgramId(group(group), new ProgramName("program-%013d".formatted(number)));
	}

	static Digest callerKey(int number) {
		return Digest.of("key " + number);
	}

	static Configuration configuration(int groups, int upstreams) {
		return ConfigurationReader.read(source(groups, upstreams))
			.getOrElseThrow((problems) -> new IllegalStateException(problems.toString()));
	}

	static ConfigurationSource source(int groups, int upstreams) {
		byte[] bytes = configurationText(groups, upstreams).getBytes(StandardCharsets.UTF_8);
		return new ConfigurationSource(List.of(new ConfigurationFile("10-site.ini", bytes)));
	}

	static String configurationText(int groups, int upstreams) {
		StringBuilder text = new StringBuilder("[site]\nname = sample\nzones = ");
		text.append(String.join(", ", IntStream.range(0, ZONES).mapToObj((zone) -> "zone-" + zone).toList()));
		text.append("\n\n[limits]\nqueue_calls = 10000\n\n");
		for (int model = 0; model < Math.min(MODELS, upstreams); model++) {
			text.append(
					"[model model-%d]\ncontext_tokens = 1000000\nmaximum_output_tokens = 8192\n\n".formatted(model));
		}
		for (int group = 0; group < groups; group++) {
			text.append(groupText(group));
		}
		for (int upstream = 0; upstream < upstreams; upstream++) {
			text.append(upstreamText(upstream));
		}
		return text.toString();
	}

	private static String groupText(int number) {
		return """
				[group %1$s]
				share = %2$d
				%5$s

				[caller caller-%3$d]
				group = %1$s
				key_sha256 = %4$s

				""".formatted(group(number).value(), 1 + number % 100, number, callerKey(number),
				(number > 0) ? BUDGET : NO_BUDGET);
	}

	private static String upstreamText(int number) {
		return """
				[upstream %s]
				zone = zone-%d
				sidecar = 10.%d.%d.1:%d
				address = 127.0.0.1:8000
				kind = engine
				models = model-%d
				checks_fencing_numbers = true
				kv_tokens = 4000000
				maximum_calls = 128

				""".formatted(vm(number).value(), number % ZONES, number / 250, number % 250, PORT, number % MODELS);
	}

	/**
	 * Returns a text of a length that no other call with another seed gives.
	 * @param seed the seed
	 * @param length the number of characters, each one byte
	 * @return the text
	 */
	static String text(long seed, int length) {
		return new Random(seed).ints(length, 'a', 'z' + 1)
			.collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
			.toString();
	}

	static String message(String role, String text) {
		return "{\"role\":\"%s\",\"content\":\"%s\"}".formatted(role, text);
	}

	static CallResponse.FromModel answer(long seed, int length) {
		return new CallResponse.FromModel(message("assistant", text(seed, length)), "stop",
				new Usage(100, 0, length / 4));
	}

	static LedgerRecord.ProgramClaimed claim(int number) {
		return new LedgerRecord.ProgramClaimed(program(number, number), Epoch.NONE.next(), sidecar(number % RUNNERS),
				Optional.empty());
	}

	static LedgerRecord.TurnCommitted turn(int program, int number, int answerLength) {
		Turn turn = new Turn(number, Digest.of("turn " + program + " " + number), Optional.empty(),
				List.of(message("user", text(number, 400))), answer(number, answerLength));
		return new LedgerRecord.TurnCommitted(program(program, program), Epoch.NONE.next(), turn,
				Optional.of(new Position(100_000 + program, 7)));
	}

}
