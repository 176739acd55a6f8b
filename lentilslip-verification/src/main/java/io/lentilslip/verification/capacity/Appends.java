package io.lentilslip.verification.capacity;

import java.util.List;

import io.lentilslip.core.role.NodeEffect;

/**
 * Finds appends among effects. Stateless and safe for use by several threads.
 */
final class Appends {

	private Appends() {
	}

	static NodeEffect.AppendRecord in(List<NodeEffect> effects) {
		return effects.stream()
			.filter(NodeEffect.AppendRecord.class::isInstance)
			.map(NodeEffect.AppendRecord.class::cast)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("nothing was appended: " + effects));
	}

}
