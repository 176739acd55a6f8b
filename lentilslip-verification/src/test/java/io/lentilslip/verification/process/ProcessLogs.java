package io.lentilslip.verification.process;

import java.util.function.Supplier;

import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;

/**
 * Attaches the logs of a site's processes to the failure of a test.
 */
public final class ProcessLogs implements TestExecutionExceptionHandler {

	private final Supplier<Site> site;

	/**
	 * Creates the extension.
	 * @param site the site of the test
	 */
	public ProcessLogs(Supplier<Site> site) {
		this.site = site;
	}

	@Override
	public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
		Site present = this.site.get();
		if (present != null) {
			failure.addSuppressed(new AssertionError(present.logs()));
		}
		throw failure;
	}

}
