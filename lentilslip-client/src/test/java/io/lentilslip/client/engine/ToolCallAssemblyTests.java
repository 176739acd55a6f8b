package io.lentilslip.client.engine;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

class ToolCallAssemblyTests {

	private final ToolCallAssembly assembly = new ToolCallAssembly(400);

	@Test
	void putsTheArgumentsOfEachCallTogether() throws IOException {
		add("[{'index':0,'id':'a','type':'function','function':{'name':'price','arguments':'{'}},"
				+ "{'index':1,'id':'b','type':'function','function':{'name':'ping','arguments':''}}]");
		add("[{'index':1,'function':{'arguments':'[]'}},{'index':0,'function':{'arguments':'}'}}]");
		assertThat(this.assembly.toJson())
			.contains(quoted("[{'id':'a','type':'function','function':{'name':'price','arguments':'{}'}},"
					+ "{'id':'b','type':'function','function':{'name':'ping','arguments':'[]'}}]"));
	}

	/**
	 * An engine streams the arguments of a call and never ends them. The client gives the
	 * answer up at its bound rather than keep all of it.
	 */
	@Test
	void refusesCallsWithoutEnd() {
		assertThatIOException().isThrownBy(() -> {
			while (true) {
				add("[{'index':0,'function':{'arguments':'more'}}]");
			}
		}).withMessage("tool calls longer than 400 characters");
	}

	private void add(String parts) throws IOException {
		this.assembly.add(EngineAnswers.JSON.readTree(quoted(parts)));
	}

	private static String quoted(String json) {
		return json.replace('\'', '"');
	}

}
