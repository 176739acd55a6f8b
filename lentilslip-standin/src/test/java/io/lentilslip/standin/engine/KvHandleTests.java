package io.lentilslip.standin.engine;

import java.util.Arrays;
import java.util.Collections;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class KvHandleTests {

	@Property(tries = 100, seed = "20261202")
	void exportedChainGoesOnAsTheOriginal(@ForAll @IntRange(min = 0, max = 100) int tokens) {
		BlockChain original = BlockChain.of(Collections.nCopies(tokens, "word "));
		BlockChain imported = KvHandle.read(KvHandle.write(original));
		for (int i = 0; i < BlockChain.BLOCK_TOKENS; i++) {
			original.append("more");
			imported.append("more");
		}
		assertThat(imported.tokens()).isEqualTo(original.tokens());
		assertThat(imported.hash(imported.fullBlocks() - 1)).isEqualTo(original.hash(original.fullBlocks() - 1));
	}

	/**
	 * An export is cut off or altered on its way. The importer gets a clear refusal and
	 * holds no memory, rather than the cache of another conversation.
	 */
	@Property(tries = 200, seed = "20261203")
	void damagedOctetsAreRefused(@ForAll @IntRange(min = 0, max = 51) int position) {
		byte[] octets = KvHandle.write(BlockChain.of(Collections.nCopies(65, "word ")));
		byte[] cut = Arrays.copyOf(octets, position);
		octets[position] ^= 1;
		assertThatExceptionOfType(RejectedRequestException.class).isThrownBy(() -> KvHandle.read(octets));
		assertThatExceptionOfType(RejectedRequestException.class).isThrownBy(() -> KvHandle.read(cut));
	}

}
