package sandstack.configuration;

/** Sanitizes text from outside the process for the log: one line of bounded length, so it cannot forge log lines. */
final class LogText {
    private static final int MAX_CHARACTERS = 200;

    private LogText() {}

    static String singleLine(String text) {
        String bounded = text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
        return bounded.replaceAll("[\\p{Cntrl}\\u0085\\u2028\\u2029]", " ");
    }
}
