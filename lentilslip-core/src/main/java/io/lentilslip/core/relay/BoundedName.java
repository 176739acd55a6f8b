package io.lentilslip.core.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Bounds the size of names that callers choose and that outlive their requests: a long
 * name is replaced by its digest, at all relays alike. Stateless and safe for use by
 * several threads.
 */
public final class BoundedName {

	/**
	 * The length up to which a name is kept as it is.
	 */
	public static final int MAX_LENGTH = 128;

	private static final String ALGORITHM = "SHA-256";

	private static final String PREFIX = "sha256-";

	private BoundedName() {
	}

	/**
	 * Returns the name under which an object is known.
	 * @param name the name that the caller gives it
	 * @return the name, or its digest if it is long
	 */
	public static String of(String name) {
		if (name.length() <= MAX_LENGTH) {
			return name;
		}
		try {
			byte[] digest = MessageDigest.getInstance(ALGORITHM).digest(name.getBytes(StandardCharsets.UTF_8));
			return PREFIX + HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
