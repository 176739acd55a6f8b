package io.lentilslip.runtime.configuration;

/**
 * What a publication is made from. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface Base {

	/**
	 * A version that the operator's folder was made from: a later one that took effect
	 * meanwhile wins over the publication.
	 *
	 * @param version the version, or {@link ConfigurationLineage#NONE}
	 */
	record Version(long version) implements Base {

		/**
		 * Creates a base.
		 * @param version the version, or {@link ConfigurationLineage#NONE}
		 * @throws IllegalArgumentException if the version is below that
		 */
		public Version {
			if (version < ConfigurationLineage.NONE) {
				throw new IllegalArgumentException("not a version: " + version);
			}
		}

	}

	/**
	 * Whatever the log holds when the publication begins; a version that comes in between
	 * still wins. It is also the way to publish once all records have passed retention.
	 */
	record Newest() implements Base {

	}

}
