package io.lentilslip.wire.link;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class LinkSecretTests {

	private static final byte[] NONCE = LinkSecret.nonce();

	private static final byte[] OTHER_NONCE = LinkSecret.nonce();

	private final LinkSecret secret = LinkSecret.of("a secret that both sides know");

	@Test
	void acceptsItsOwnProof() {
		byte[] proof = this.secret.proof(LinkSide.CLIENT, NONCE, OTHER_NONCE);
		assertThat(this.secret.accepts(proof, LinkSide.CLIENT, NONCE, OTHER_NONCE)).isTrue();
	}

	@Test
	void refusesTheProofOfTheOtherSide() {
		byte[] proof = this.secret.proof(LinkSide.CLIENT, NONCE, OTHER_NONCE);
		assertThat(this.secret.accepts(proof, LinkSide.SERVER, NONCE, OTHER_NONCE)).isFalse();
	}

	@Test
	void refusesTheProofForOtherNonces() {
		byte[] proof = this.secret.proof(LinkSide.CLIENT, NONCE, OTHER_NONCE);
		assertThat(this.secret.accepts(proof, LinkSide.CLIENT, OTHER_NONCE, NONCE)).isFalse();
	}

	// Nonces are joined without a separator. If their lengths could vary, a byte could
	// move from one to the other and one proof would fit two handshakes.
	@Test
	void refusesANonceOfAnotherLength() {
		byte[] proof = this.secret.proof(LinkSide.CLIENT, NONCE, new byte[1]);
		assertThat(this.secret.accepts(proof, LinkSide.CLIENT, NONCE, new byte[1])).isFalse();
	}

	@Test
	void refusesAShortSecret() {
		assertThatIllegalArgumentException().isThrownBy(() -> LinkSecret.of("too short"));
	}

	@Test
	void doesNotShowItself() {
		assertThat(this.secret.toString()).isEqualTo("LinkSecret[hidden]");
	}

}
