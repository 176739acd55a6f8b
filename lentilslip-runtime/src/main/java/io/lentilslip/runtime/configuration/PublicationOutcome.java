package io.lentilslip.runtime.configuration;

import java.util.List;
import java.util.UUID;

import io.lentilslip.settings.ini.ConfigurationProblem;

/**
 * How a publication ended. Implementations are immutable and safe for use by several
 * threads.
 */
public sealed interface PublicationOutcome {

	/**
	 * The configuration takes effect in each process that reads the log.
	 *
	 * @param version its version
	 */
	record Won(long version) implements PublicationOutcome {

	}

	/**
	 * Another version took effect first, and this one never will.
	 *
	 * @param version the version that took effect
	 */
	record LostTo(long version) implements PublicationOutcome {

	}

	/**
	 * The files have problems; nothing was sent.
	 *
	 * @param problems the problems, at least one
	 */
	record Invalid(List<ConfigurationProblem> problems) implements PublicationOutcome {

		/**
		 * Creates an outcome.
		 * @param problems the problems, at least one
		 */
		public Invalid {
			problems = List.copyOf(problems);
		}

	}

	/**
	 * The log took no record of this publication and will not: it can be made again.
	 *
	 * @param reason what happened, for people
	 */
	record NotPublished(String reason) implements PublicationOutcome {

	}

	/**
	 * The publication may take effect, or may not. Publishing again with the same
	 * identity is safe: it counts once.
	 *
	 * @param publication the identity of the publication
	 * @param reason what happened, for people
	 */
	record Unknown(UUID publication, String reason) implements PublicationOutcome {

	}

}
