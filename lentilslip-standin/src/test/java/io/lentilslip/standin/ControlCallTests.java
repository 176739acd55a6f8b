package io.lentilslip.standin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.tool.ToolServiceStandIn;
import io.lentilslip.standin.vmlist.VmListStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the control calls, which another process uses in place of the methods.
 */
class ControlCallTests {

	private final HttpClient client = HttpClient.newHttpClient();

	@AfterEach
	void stop() {
		this.client.close();
	}

	@Test
	void theLogIsTakenDownAndUpAgain() throws Exception {
		try (LogServiceStandIn log = LogServiceStandIn.start()) {
			String control = "/control/availability";
			assertThat(post(log.address(), control, "{\"availability\":\"refusing\"}").statusCode()).isEqualTo(204);
			assertThat(get(log.address(), "/v1/streams/s/records").statusCode()).isEqualTo(503);
			assertThat(post(log.address(), control, "{\"availability\":\"up\"}").statusCode()).isEqualTo(204);
			assertThat(get(log.address(), "/v1/streams/s/records").body())
				.isEqualTo("{\"first\":0,\"next\":0,\"records\":[]}");
		}
	}

	@Test
	void theListOfVmsIsSet() throws Exception {
		try (VmListStandIn list = VmListStandIn.start()) {
			String vms = "[{\"name\":\"a\",\"address\":\"127.0.0.1\",\"zone\":\"z\",\"state\":\"live\"}]";
			assertThat(post(list.address(), "/control/vms", "{\"vms\":" + vms + "}").statusCode()).isEqualTo(204);
			assertThat(get(list.address(), "/v1/vms").body()).isEqualTo("{\"version\":1,\"vms\":" + vms + "}");
		}
	}

	@Test
	void theToolIsToldToFailAndCountsItsRuns() throws Exception {
		try (ToolServiceStandIn tool = ToolServiceStandIn.start()) {
			String fail = "{\"behaviour\":\"fail\",\"status\":500,\"count\":1}";
			assertThat(post(tool.address(), "/control/behaviour", fail).statusCode()).isEqualTo(204);
			assertThat(post(tool.address(), "/price", "{\"id\":\"p1\"}").statusCode()).isEqualTo(500);
			assertThat(post(tool.address(), "/price", "{\"id\":\"p1\"}").statusCode()).isEqualTo(200);
			assertThat(get(tool.address(), "/runs").body()).isEqualTo("{\"runs\":{\"p1\":2}}");
		}
	}

	// A test driver misspells a control call. If it were passed over, the fault
	// would not happen and the test would pass for the wrong reason.
	@Test
	void aFaultyControlCallIsAnError() throws Exception {
		try (ToolServiceStandIn tool = ToolServiceStandIn.start(); LogServiceStandIn log = LogServiceStandIn.start()) {
			assertThat(post(tool.address(), "/control/behaviour", "{\"behaviour\":\"sulk\"}").statusCode())
				.isEqualTo(400);
			assertThat(post(tool.address(), "/control/availability", "no JSON").statusCode()).isEqualTo(400);
			assertThat(post(log.address(), "/control/availability", "{\"availability\":\"slow\"}").statusCode())
				.isEqualTo(400);
			assertThat(post(log.address(), "/control/lost-answers", "{\"count\":\"x\"}").statusCode()).isEqualTo(400);
			assertThat(get(log.address(), "/v1/streams/s/records?from=x").statusCode()).isEqualTo(400);
		}
	}

	private HttpResponse<String> get(InetSocketAddress address, String path) throws Exception {
		return send(HttpRequest.newBuilder(uri(address, path)));
	}

	private HttpResponse<String> post(InetSocketAddress address, String path, String body) throws Exception {
		return send(HttpRequest.newBuilder(uri(address, path)).POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static URI uri(InetSocketAddress address, String path) {
		return URI.create("http://127.0.0.1:" + address.getPort() + path);
	}

}
