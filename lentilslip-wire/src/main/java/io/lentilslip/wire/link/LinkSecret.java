package io.lentilslip.wire.link;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all processes of a site share, and the proofs of knowing it. A proof
 * covers the nonces of both sides, so that one that was recorded is worthless later, and
 * the side that gives it, so that a side's own proof cannot be sent back to it. Immutable
 * and safe for use by several threads.
 */
public final class LinkSecret {

	/**
	 * The fewest bytes of a secret.
	 */
	public static final int MINIMUM_BYTES = 16;

	static final int NONCE_BYTES = 32;

	private static final String ALGORITHM = "HmacSHA256";

	private static final String PURPOSE = "lentilslip link 1 ";

	private static final SecureRandom RANDOM = new SecureRandom();

	private final SecretKeySpec key;

	private LinkSecret(byte[] bytes) {
		this.key = new SecretKeySpec(bytes, ALGORITHM);
	}

	/**
	 * Returns a secret of some bytes.
	 * @param bytes the bytes
	 * @return the secret
	 * @throws IllegalArgumentException if there are fewer than {@link #MINIMUM_BYTES}
	 */
	public static LinkSecret of(byte[] bytes) {
		if (bytes.length < MINIMUM_BYTES) {
			throw new IllegalArgumentException("a secret has at least " + MINIMUM_BYTES + " bytes");
		}
		return new LinkSecret(bytes);
	}

	/**
	 * Returns a secret of a text in UTF-8.
	 * @param text the text
	 * @return the secret
	 * @throws IllegalArgumentException if it has fewer than {@link #MINIMUM_BYTES}
	 */
	public static LinkSecret of(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a new random nonce.
	 * @return the nonce
	 */
	static byte[] nonce() {
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		return nonce;
	}

	/**
	 * Returns the proof that one side gives.
	 * @param side the side that gives the proof
	 * @param serverNonce the nonce of the server
	 * @param clientNonce the nonce of the client
	 * @return the proof
	 */
	byte[] proof(LinkSide side, byte[] serverNonce, byte[] clientNonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			mac.update((PURPOSE + side.name()).getBytes(StandardCharsets.US_ASCII));
			mac.update(serverNonce);
			return mac.doFinal(clientNonce);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform has " + ALGORITHM, ex);
		}
	}

	/**
	 * Returns whether a proof is right. The time it takes does not tell how much of a
	 * wrong proof was right, by which a proof could be guessed byte by byte.
	 * @param proof the proof to check
	 * @param side the side that gave it
	 * @param serverNonce the nonce of the server
	 * @param clientNonce the nonce of the client
	 * @return {@code true} if the side knows the secret
	 */
	boolean accepts(byte[] proof, LinkSide side, byte[] serverNonce, byte[] clientNonce) {
		boolean nonces = serverNonce.length == NONCE_BYTES && clientNonce.length == NONCE_BYTES;
		return nonces && MessageDigest.isEqual(proof(side, serverNonce, clientNonce), proof);
	}

	@Override
	public String toString() {
		return "LinkSecret[hidden]";
	}

}
