package io.lentilslip.verification.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The command that puts the derived tables into the page on capacity.
 */
public final class WriteCapacityPage {

	private WriteCapacityPage() {
	}

	/**
	 * Writes the tables into the page.
	 * @param arguments the folder of the results and the page
	 * @throws IOException if the page cannot be read or written
	 */
	public static void main(String[] arguments) throws IOException {
		CapacityTable table = CapacityTable.from(new ResultFiles(Path.of(arguments[0])).fits());
		Path page = Path.of(arguments[1]);
		Files.writeString(page, table.putInto(Files.readString(page)));
	}

}
