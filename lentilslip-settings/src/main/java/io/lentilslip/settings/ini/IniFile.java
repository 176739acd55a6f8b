package io.lentilslip.settings.ini;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * One INI file, read strictly: no section and no key stands twice, no key stands before
 * the first section, and the bytes are UTF-8. Immutable and safe for use by several
 * threads.
 *
 * @param name the name of the file
 * @param sections the sections in their order
 */
public record IniFile(String name, List<IniSection> sections) {

	private static final char BYTE_ORDER_MARK = '\uFEFF';

	/**
	 * Creates a file.
	 * @param name the name of the file
	 * @param sections the sections in their order
	 */
	public IniFile {
		Objects.requireNonNull(name, "name");
		sections = List.copyOf(sections);
	}

	/**
	 * Reads a file. What can be read is returned even if there are problems, so that
	 * later checks can add theirs.
	 * @param name the name of the file
	 * @param bytes the content of the file
	 * @param problems where problems are added
	 * @return the readable part of the file
	 */
	public static IniFile read(String name, byte[] bytes, Problems problems) {
		return decode(name, bytes, problems).map((text) -> new LineByLine(name, problems).read(text))
			.orElseGet(() -> new IniFile(name, List.of()));
	}

	private static Optional<String> decode(String name, byte[] bytes, Problems problems) {
		CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
		ByteBuffer input = ByteBuffer.wrap(bytes);
		CharBuffer output = CharBuffer.allocate(bytes.length);
		CoderResult result = decoder.decode(input, output, true);
		if (result.isError()) {
			int line = lineAt(bytes, input.position());
			String found = "byte 0x%02x".formatted(bytes[input.position()] & 0xff);
			problems.add(new ConfigurationProblem(name, line, "", "", found, "text in UTF-8"));
			return Optional.empty();
		}
		String text = output.flip().toString();
		if (!text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK) {
			problems.add(new ConfigurationProblem(name, 1, "", "", "a byte order mark", "UTF-8 without one"));
			return Optional.empty();
		}
		return Optional.of(text);
	}

	private static int lineAt(byte[] bytes, int position) {
		int line = 1;
		for (int index = 0; index < position; index++) {
			if (bytes[index] == '\n') {
				line++;
			}
		}
		return line;
	}

	/**
	 * Hands the lines of a file to the library's parser one at a time. The parser tells
	 * its handler no line numbers and stops at the first error; called for each line, it
	 * gives the line of every key, and all errors of a file at once. Line continuations,
	 * escapes and includes are off, so a line means the same whatever stands around it.
	 * Not safe for use by several threads.
	 */
	private static final class LineByLine implements IniHandler {

		private static final Config STRICT = strict();

		private final String name;

		private final Problems problems;

		private final IniParser parser = IniParser.newInstance(STRICT);

		private final Map<SectionName, IniSection> sections = new LinkedHashMap<>();

		private Map<String, IniEntry> entries = new LinkedHashMap<>();

		private SectionName section;

		private String opened;

		private boolean keyRead;

		private int sectionLine;

		private int line;

		private LineByLine(String name, Problems problems) {
			this.name = name;
			this.problems = problems;
		}

		private static Config strict() {
			Config config = new Config();
			config.setEscape(false);
			config.setEscapeNewline(false);
			config.setInclude(false);
			config.setGlobalSection(true);
			return config;
		}

		private IniFile read(String text) {
			for (String next : text.lines().toList()) {
				this.line++;
				readLine(next);
			}
			closeSection();
			return new IniFile(this.name, new ArrayList<>(this.sections.values()));
		}

		private void readLine(String text) {
			this.opened = null;
			this.keyRead = false;
			try {
				this.parser.parse(new StringReader(text), this);
			}
			catch (InvalidFileFormatException ex) {
				problem("", "'" + text.strip() + "'", "[section], key = value, or a comment");
				return;
			}
			catch (IOException ex) {
				throw new IllegalStateException("a text in memory can't fail to be read", ex);
			}
			if (this.opened != null && !this.keyRead) {
				openSection(this.opened);
			}
		}

		private void openSection(String text) {
			closeSection();
			this.section = SectionName.of(text);
			this.sectionLine = this.line;
		}

		private void closeSection() {
			if (this.section != null) {
				IniSection read = new IniSection(this.section, this.name, this.sectionLine, this.entries);
				IniSection earlier = this.sections.putIfAbsent(this.section, read);
				if (earlier != null) {
					this.problems.add(read,
							"a second section of this name (the first is on line " + earlier.line() + ")",
							"each section once in a file");
				}
			}
			this.entries = new LinkedHashMap<>();
		}

		@Override
		public void startSection(String sectionName) {
			this.opened = sectionName;
		}

		@Override
		public void handleOption(String key, String value) {
			this.keyRead = true;
			if (this.section == null) {
				problem(key, "a key before any section", "a [section] first");
				return;
			}
			String text = (value != null) ? value.strip() : "";
			IniEntry earlier = this.entries.putIfAbsent(key, new IniEntry(key, text, this.name, this.line));
			if (earlier != null) {
				problem(key, "a second value (the first is on line " + earlier.line() + ")",
						"each key once in a section");
			}
		}

		private void problem(String key, String found, String expected) {
			String header = (this.section != null) ? this.section.toString() : "";
			this.problems.add(new ConfigurationProblem(this.name, this.line, header, key, found, expected));
		}

		@Override
		public void startIni() {
		}

		@Override
		public void endSection() {
		}

		@Override
		public void endIni() {
		}

		@Override
		public void handleComment(String comment) {
		}

	}

}
