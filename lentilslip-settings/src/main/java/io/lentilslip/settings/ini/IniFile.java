package io.lentilslip.settings.ini;

import java.io.IOException;
import java.io.Reader;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
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
		return decode(name, bytes, problems).map((text) -> new Collector(name, text, problems).collect())
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
	 * Collects what the library's parser finds. The parser tells its handler no line
	 * numbers and stops at the first error. It reads through {@link Lines}, which knows
	 * the line it is at, and is started again behind each error, so that all errors of a
	 * file are found at once. Line continuations, escapes and includes are off, so a line
	 * means the same whatever stands around it. Not safe for use by several threads.
	 */
	private static final class Collector implements IniHandler {

		private final String name;

		private final Problems problems;

		private final Lines lines;

		private final Map<SectionName, IniSection> sections = new LinkedHashMap<>();

		private Map<String, IniEntry> entries = new LinkedHashMap<>();

		private SectionName section;

		private int sectionLine;

		private Collector(String name, String text, Problems problems) {
			this.name = name;
			this.lines = new Lines(text);
			this.problems = problems;
		}

		private static IniParser strictParser() {
			Config config = new Config();
			config.setEscape(false);
			config.setEscapeNewline(false);
			config.setInclude(false);
			config.setGlobalSection(true);
			return IniParser.newInstance(config);
		}

		private IniFile collect() {
			IniParser parser = strictParser();
			while (this.lines.hasMore()) {
				parseUpToNextError(parser);
			}
			closeSection();
			return new IniFile(this.name, new ArrayList<>(this.sections.values()));
		}

		private void parseUpToNextError(IniParser parser) {
			try {
				parser.parse(this.lines, this);
			}
			catch (InvalidFileFormatException ex) {
				problem("", "'" + this.lines.current().strip() + "'", "[section], key = value, or a comment");
			}
			catch (IOException ex) {
				throw new IllegalStateException("a text in memory can't fail to be read", ex);
			}
		}

		/**
		 * Opens a section. The parser also opens one of its own for keys that follow its
		 * start; such keys belong to the section that was open before the error.
		 * @param header the text between brackets
		 */
		@Override
		public void startSection(String header) {
			if (this.lines.current().strip().startsWith("[")) {
				closeSection();
				this.section = SectionName.of(header);
				this.sectionLine = this.lines.number();
			}
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
		public void handleOption(String key, String value) {
			if (this.section == null) {
				problem(key, "a key before any section", "a [section] first");
				return;
			}
			IniEntry read = new IniEntry(key, value.strip(), this.name, this.lines.number());
			IniEntry earlier = this.entries.putIfAbsent(key, read);
			if (earlier != null) {
				problem(key, "a second value (the first is on line " + earlier.line() + ")",
						"each key once in a section");
			}
		}

		private void problem(String key, String found, String expected) {
			String header = (this.section != null) ? this.section.toString() : "";
			this.problems.add(new ConfigurationProblem(this.name, this.lines.number(), header, key, found, expected));
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

	/**
	 * A text that is given out one line a read. Whoever buffers it asks for the next line
	 * only after the last one was used up, so the line given out last is the one that is
	 * worked on. Stays open after a close, so that a parser can go on behind an error.
	 * Not safe for use by several threads.
	 */
	private static final class Lines extends Reader {

		private final Iterator<String> remaining;

		private String current = "";

		private int number;

		private int position;

		private Lines(String text) {
			this.remaining = text.lines().iterator();
		}

		private boolean hasMore() {
			return this.remaining.hasNext();
		}

		private String current() {
			return this.current;
		}

		private int number() {
			return this.number;
		}

		@Override
		public int read(char[] buffer, int offset, int length) {
			if (this.position == this.current.length()) {
				if (!hasMore()) {
					return -1;
				}
				this.current = this.remaining.next() + "\n";
				this.number++;
				this.position = 0;
			}
			int count = Math.min(length, this.current.length() - this.position);
			this.current.getChars(this.position, this.position + count, buffer, offset);
			this.position += count;
			return count;
		}

		@Override
		public void close() {
		}

	}

}
