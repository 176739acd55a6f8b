package io.lentilslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.runtime.conversation.CanonicalJson;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonTests {

	@Property(seed = "1")
	void sameObjectInAnyOrderAndLayoutHasOneText(@ForAll("objects") ObjectNode object, @ForAll long seed) {
		ObjectNode shuffled = (ObjectNode) shuffled(object, new Random(seed));
		byte[] loose = shuffled.toPrettyString().getBytes(StandardCharsets.UTF_8);
		String text = CanonicalJson.text(Json.readObject(loose).get());
		assertThat(text).isEqualTo(CanonicalJson.text(Json.readObject(object.toString()).orElseThrow()));
	}

	@Property(seed = "2")
	void canonicalTextMeansTheSame(@ForAll("objects") ObjectNode object) {
		assertThat(Json.readObject(CanonicalJson.text(object))).contains(object);
	}

	@Test
	void whatTwoReadersMightTakeDifferentlyIsRefused() {
		assertThat(Json.readObject("{\"a\":1,\"a\":2}")).isEmpty();
		assertThat(Json.readObject("{\"a\":1} {}")).isEmpty();
		assertThat(Json.readObject("{\"a\":NaN}")).isEmpty();
		assertThat(Json.readObject("[1]")).isEmpty();
		assertThat(Json.readObject("")).isEmpty();
	}

	@Test
	void textThatNestsTooDeepIsRefused() {
		assertThat(Json.readObject("{\"a\":" + "[".repeat(100_000))).isEmpty();
	}

	@Test
	void problemTellsThePlaceAndNothingOfTheInside() {
		String problem = Json.readObject("{\n\"a\" 1}".getBytes(StandardCharsets.UTF_8)).getLeft();
		assertThat(problem).contains("line 2").doesNotContain("jackson", "Exception");
	}

	@Test
	void halfOfACharacterIsNotEncodable() {
		assertThat(Json.isEncodable("\ud83d\udea4")).isTrue();
		assertThat(Json.isEncodable("\ud83d")).isFalse();
	}

	@Provide
	Arbitrary<ObjectNode> objects() {
		return Arbitraries.lazyOf(this::leaves, this::leaves, this::arrays, () -> nested().map((node) -> node))
			.list()
			.ofMaxSize(5)
			.flatMap((values) -> Arbitraries.strings()
				.alpha()
				.ofMaxLength(4)
				.list()
				.uniqueElements()
				.ofSize(values.size())
				.map((names) -> object(names, values)));
	}

	private Arbitrary<JsonNode> nested() {
		return leaves().list().ofSize(2).map((values) -> object(List.of("b", "a"), values));
	}

	private Arbitrary<JsonNode> arrays() {
		return nested().list().ofMaxSize(3).map((values) -> {
			ArrayNode array = JsonNodeFactory.instance.arrayNode();
			return array.addAll(values);
		});
	}

	private Arbitrary<JsonNode> leaves() {
		JsonNodeFactory nodes = JsonNodeFactory.instance;
		return Arbitraries.oneOf(Arbitraries.integers().map(nodes::numberNode),
				Arbitraries.strings().ofMaxLength(5).withCharRange(' ', '\u0400').map(nodes::textNode),
				Arbitraries.of(true, false).map(nodes::booleanNode), Arbitraries.just(nodes.nullNode()));
	}

	private static ObjectNode object(List<String> names, List<JsonNode> values) {
		ObjectNode object = Json.object();
		for (int index = 0; index < names.size(); index++) {
			object.set(names.get(index), values.get(index));
		}
		return object;
	}

	private static JsonNode shuffled(JsonNode node, Random random) {
		if (node instanceof ArrayNode array) {
			ArrayNode copy = JsonNodeFactory.instance.arrayNode();
			array.forEach((element) -> copy.add(shuffled(element, random)));
			return copy;
		}
		if (!(node instanceof ObjectNode object)) {
			return node;
		}
		List<Map.Entry<String, JsonNode>> fields = new ArrayList<>(object.properties());
		Collections.shuffle(fields, random);
		ObjectNode copy = Json.object();
		fields.forEach((field) -> copy.set(field.getKey(), shuffled(field.getValue(), random)));
		return copy;
	}

}
