package io.lentilslip.entry.http;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServicePathTests {

	@ParameterizedTest
	@ValueSource(strings = { "/../a", "/a/..", "/a/./b", "/%2e%2E/a", "/.%2e/a", "/a%2fb", "/a%5Cb", "/a\\b", "/a//b",
			"/..;x/a", "/a/;x/b", "/%252e%252e/a", "/a%00", "/a%", "/a%2", "/a%zz", "/a\tb", "a", "", "/a?b#c" })
	void pathsThatTwoReadersTakeDifferentlyAreRefused(String path) {
		assertThat(ServicePath.parse(path)).isEmpty();
	}

	@Test
	void sameResourceHasOneForm() {
		assertThat(List.of("/price/a%20b", "/p%72ice/%61%20b"))
			.allSatisfy((path) -> assertThat(ServicePath.parse(path)).contains(new ServicePath("/price/a%20b")));
	}

	@Test
	void queryAndLastSlashStay() {
		assertThat(ServicePath.parse("/")).contains(new ServicePath("/"));
		assertThat(ServicePath.parse("/a/?x=..%2f/../")).contains(new ServicePath("/a/?x=..%2f/../"));
	}

	@Property(seed = "3")
	void normalFormIsItsOwnNormalForm(@ForAll String text) {
		ServicePath.parse("/" + text).ifPresent((path) -> assertThat(ServicePath.parse(path.value())).contains(path));
	}

}
