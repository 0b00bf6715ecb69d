package sandstack.configuration;

/** Makes what came from elsewhere fit for one bounded line of a log. */
final class OneLine {
    private static final int MOST_CHARACTERS = 200;

    private OneLine() {}

    static String of(String text) {
        String cut = text.length() <= MOST_CHARACTERS ? text : text.substring(0, MOST_CHARACTERS) + "...";
        return cut.replaceAll("[\\p{Cntrl}\\u0085\\u2028\\u2029]", " ");
    }
}
