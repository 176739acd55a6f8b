package io.lentilslip.standin.engine;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The octets that stand for the exported KV cache of a session: a mark, the number of
 * tokens, the hash of all, the hashes of the full blocks, a checksum of what precedes it.
 * Without state, safe for use by several threads.
 */
final class KvHandle {

	private static final int MARK = 0x4b56_4331;

	private static final int FIXED_BYTES = 2 * Integer.BYTES + Long.BYTES + Integer.BYTES;

	private KvHandle() {
	}

	/**
	 * Returns the octets for a chain.
	 * @param chain the chain
	 * @return the octets
	 */
	static byte[] write(BlockChain chain) {
		ByteBuffer buffer = ByteBuffer.allocate(FIXED_BYTES + chain.fullBlocks() * Long.BYTES);
		buffer.putInt(MARK).putInt(chain.tokens()).putLong(chain.rolling());
		for (int i = 0; i < chain.fullBlocks(); i++) {
			buffer.putLong(chain.hash(i));
		}
		return buffer.putInt(checksum(buffer)).array();
	}

	/**
	 * Returns the chain for some octets.
	 * @param octets the octets
	 * @return the chain
	 * @throws RejectedRequestException if the octets are damaged
	 */
	static BlockChain read(byte[] octets) {
		ByteBuffer buffer = ByteBuffer.wrap(octets);
		try {
			int mark = buffer.getInt();
			int tokens = buffer.getInt();
			long rolling = buffer.getLong();
			long[] hashes = new long[(octets.length - FIXED_BYTES) / Long.BYTES];
			buffer.asLongBuffer().get(hashes);
			buffer.position(buffer.position() + hashes.length * Long.BYTES);
			int expected = checksum(buffer);
			if (mark != MARK || buffer.getInt() != expected || buffer.hasRemaining()) {
				throw damaged();
			}
			return BlockChain.restore(hashes, rolling, tokens);
		}
		catch (BufferUnderflowException | IllegalArgumentException | NegativeArraySizeException ex) {
			throw damaged();
		}
	}

	private static int checksum(ByteBuffer buffer) {
		CRC32C checksum = new CRC32C();
		checksum.update(buffer.array(), 0, buffer.position());
		return (int) checksum.getValue();
	}

	private static RejectedRequestException damaged() {
		return RejectedRequestException.invalid("the body is not a whole exported KV cache");
	}

}
