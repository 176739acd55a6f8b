package io.lentilslip.client.weight;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A stream of weights that ends well only after exactly the bytes described: a stream
 * that is too long, too short or has another digest fails with an {@link IOException}.
 * Without this, an engine would load half a file or somebody else's, and answer nonsense.
 * Not safe for use by several threads; closing it closes the connection.
 */
public final class WeightStream extends FilterInputStream {

	private final WeightDescription description;

	private final MessageDigest digest;

	private long received;

	WeightStream(InputStream source, WeightDescription description) {
		this(source, description, sha256());
	}

	private WeightStream(InputStream source, WeightDescription description, MessageDigest digest) {
		super(new DigestInputStream(source, digest));
		this.description = description;
		this.digest = digest;
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		int count = read(single, 0, 1);
		return (count < 0) ? count : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		int count = super.read(target, offset, length);
		if (count < 0) {
			checkEnd();
			return count;
		}
		this.received += count;
		if (this.received > this.description.size()) {
			throw new IOException("more than " + this.description.size() + " bytes of " + this.description.version());
		}
		return count;
	}

	@Override
	public long skip(long count) throws IOException {
		throw new IOException("weights can't be skipped: their digest covers each byte");
	}

	@Override
	public boolean markSupported() {
		return false;
	}

	private void checkEnd() throws IOException {
		if (this.received != this.description.size()) {
			throw new IOException(this.received + " bytes in place of " + this.description.size() + " of "
					+ this.description.version());
		}
		// A clone, since the end may be read more than once and a digest can't.
		if (!HexFormat.of().formatHex(copyOfDigest().digest()).equals(this.description.digest().hex())) {
			throw new IOException("the digest of " + this.description.version() + " differs");
		}
	}

	private MessageDigest copyOfDigest() {
		try {
			return (MessageDigest) this.digest.clone();
		}
		catch (CloneNotSupportedException ex) {
			throw new IllegalStateException("the platform's SHA-256 can be cloned", ex);
		}
	}

}
