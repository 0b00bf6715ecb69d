import java.io.IOException;
import java.io.InputStream;

/** Reads lines that end with CRLF; keeps what came after the last of them. */
final class LineReader {
    private final InputStream in;
    private final StringBuilder partial = new StringBuilder();

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The next line without its end; null at the end of the input. */
    String readLine() throws IOException {
        for (int c = in.read(); c >= 0; c = in.read()) {
            partial.append((char) c);
            int length = partial.length();
            if (c == '\n' && length > 1 && partial.charAt(length - 2) == '\r') {
                String line = partial.substring(0, length - 2);
                partial.setLength(0);
                return line;
            }
        }
        return null;
    }

    /** The part of a line that has been read without its end. */
    String partial() {
        return partial.toString();
    }
}
