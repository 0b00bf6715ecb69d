package sandstack.front.platform;

import java.util.function.Consumer;
import sandstack.net.RingBuffer;

/**
 * Splits one direction of an established connection into lines and reports the first {@value #MAX_PREFIX_CHARS}
 * characters of each complete line, without its line end. Copies no bytes beyond that prefix. Used on the event loop's
 * thread only.
 */
final class LineScanner {
    /** Longer than any line that the relay evaluates. */
    private static final int MAX_PREFIX_CHARS = 64;

    private final StringBuilder prefix = new StringBuilder();
    private final Consumer<String> listener;
    private int partialLineBytes;

    LineScanner(Consumer<String> listener) {
        this.listener = listener;
    }

    /** Scans the last {@code count} bytes of the buffer, which have just been received. */
    void onBytes(RingBuffer buffer, int count) {
        for (int i = buffer.size() - count; i < buffer.size(); i++) {
            char c = (char) (buffer.byteAt(i) & 0xff);
            partialLineBytes++;
            if (c == '\n') {
                int length = prefix.length();
                if (length > 0 && prefix.charAt(length - 1) == '\r') {
                    prefix.setLength(length - 1);
                }
                String completed = prefix.toString();
                prefix.setLength(0);
                partialLineBytes = 0;
                listener.accept(completed);
            } else if (prefix.length() < MAX_PREFIX_CHARS) {
                prefix.append(c);
            }
        }
    }

    /** How many bytes of the last, still incomplete line have been received. */
    int partialLineBytes() {
        return partialLineBytes;
    }
}
