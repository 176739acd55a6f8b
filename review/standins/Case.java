package review;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if
 * the case couldn't run.
 */
final class Case {

	private Case() {
	}

	static void run(String[] arguments, Body body) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Record record = new Record(arguments[0])) {
			code = body.run(record, trouble);
		}
		catch (Throwable ex) {
			System.out.println("the case couldn't run: " + ex);
			code = 2;
		}
		System.exit(code);
	}

	/**
	 * What a case does.
	 */
	interface Body {

		int run(Record record, boolean trouble) throws Exception;

	}

}
