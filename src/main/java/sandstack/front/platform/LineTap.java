package sandstack.front.platform;

import java.util.function.Consumer;
import sandstack.net.RingBuffer;

/** Listens to a direction of a standing connection: tells the beginning of each line that has passed. */
final class LineTap {
    /** No line that means something to the relay is longer. */
    private static final int HEARD = 64;

    private final StringBuilder line = new StringBuilder();
    private final Consumer<String> told;
    private int partial;

    LineTap(Consumer<String> told) {
        this.told = told;
    }

    /** Takes the newest bytes of a ring. */
    void heard(RingBuffer ring, int count) {
        for (int i = ring.size() - count; i < ring.size(); i++) {
            char c = (char) (ring.byteAt(i) & 0xff);
            partial++;
            if (c == '\n') {
                int end = line.length();
                if (end > 0 && line.charAt(end - 1) == '\r') {
                    line.setLength(end - 1);
                }
                String whole = line.toString();
                line.setLength(0);
                partial = 0;
                told.accept(whole);
            } else if (line.length() < HEARD) {
                line.append(c);
            }
        }
    }

    /** What has come of the unfinished line was taken back. */
    void lineEnded() {
        partial = 0;
    }

    /** How many bytes of a line have come whose end has not. */
    int partial() {
        return partial;
    }
}
