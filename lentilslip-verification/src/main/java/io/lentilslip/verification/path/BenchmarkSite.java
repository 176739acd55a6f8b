package io.lentilslip.verification.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.lentilslip.core.identity.Digest;

/**
 * A site of one entry, one sidecar and one engine on neighbouring ports of this machine.
 * Immutable and safe for use by several threads.
 *
 * @param folder where the settings of the processes are written
 * @param basePort the first of the ports
 */
record BenchmarkSite(Path folder, int basePort) {

	static final String MODEL = "benchmark-model";

	static final String KEY = "benchmark-key";

	private static final String HOST = "127.0.0.1:";

	private static final String SECRET = "a-secret-of-the-benchmark-alone-0123456789";

	int logPort() {
		return this.basePort + 1;
	}

	int vmListPort() {
		return this.basePort + 2;
	}

	int enginePort() {
		return this.basePort + 4;
	}

	int callersPort() {
		return this.basePort + 10;
	}

	int entryAdminPort() {
		return this.basePort + 13;
	}

	private int sidecarLinksPort() {
		return this.basePort + 21;
	}

	int sidecarAdminPort() {
		return this.basePort + 23;
	}

	/**
	 * Writes the settings of both processes.
	 * @throws IOException if a file can't be written
	 */
	void writeSettings() throws IOException {
		Files.createDirectories(this.folder);
		Files.writeString(this.folder.resolve("link-secret"), SECRET);
		Files.writeString(this.folder.resolve("entry.ini"), process("entry-1", this.basePort + 12, entryAdminPort())
				+ "callers = " + HOST + callersPort() + "\n\n" + logging());
		Files.writeString(this.folder.resolve("sidecar.ini"),
				process("runner-1", sidecarLinksPort(), sidecarAdminPort()) + "\n[upstream]\naddress = " + HOST
						+ enginePort() + "\n\n" + logging());
	}

	private String process(String vm, int links, int admin) {
		return """
				[process]
				vm = %s
				zone = bench-hall
				link_secret_file = link-secret

				[platform]
				log_service = 127.0.0.1:%d
				vm_list = 127.0.0.1:%d
				weight_store = 127.0.0.1:%d

				[listen]
				links = 127.0.0.1:%d
				admin = 127.0.0.1:%d
				""".formatted(vm, logPort(), vmListPort(), this.basePort + 3, links, admin);
	}

	private static String logging() {
		return """
				[logging]
				format = lines
				level = warn
				""";
	}

	/**
	 * Writes the folder of operators, to be published.
	 * @throws IOException if a file can't be written
	 */
	void writeConfiguration() throws IOException {
		Path operators = Files.createDirectories(this.folder.resolve("configuration"));
		String text = """
				[site]
				name = benchmark
				zones = bench-hall

				[group bench]
				share = 1

				[caller bench]
				group = bench
				key_sha256 = %s

				[model %s]
				context_tokens = 131072
				maximum_output_tokens = 4096

				[upstream runner-1]
				zone = bench-hall
				sidecar = 127.0.0.1:%d
				address = 127.0.0.1:%d
				kind = engine
				models = %s
				checks_fencing_numbers = true
				kv_tokens = 4000000
				maximum_calls = 256
				""".formatted(Digest.of(KEY).hex(), MODEL, sidecarLinksPort(), enginePort(), MODEL);
		Files.writeString(operators.resolve("10-benchmark.ini"), text);
	}

}
