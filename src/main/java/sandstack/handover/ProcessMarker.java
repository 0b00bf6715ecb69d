package sandstack.handover;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * What one process says of itself, with a text behind it that may be empty.
 *
 * @param relay name of the relay; another one's notice says nothing here
 * @param token of the process, new with each start
 * @param written when, in Unix microseconds
 * @param used descriptors that it uses
 */
record ProcessMarker(String relay, String token, long written, int used, String text) {
    private static final String FORM = "sandstack-kin 1";

    /** As it stands in a file: a line that ends with a checksum over all, then the text. */
    String file() {
        String head = FORM + " " + URLEncoder.encode(relay, StandardCharsets.UTF_8) + " " + token + " " + written + " "
                + used;
        return head + " " + sum(head, text) + "\n" + text;
    }

    /** Reads a file; null where it is torn, changed, or not of this relay. */
    static ProcessMarker read(String file, String relay) {
        int end = file.indexOf('\n');
        int sumAt = end < 0 ? -1 : file.lastIndexOf(' ', end);
        if (sumAt < 0) {
            return null;
        }
        String head = file.substring(0, sumAt);
        String text = file.substring(end + 1);
        String[] words = head.split(" ");
        if (words.length != 6
                || !head.startsWith(FORM + " ")
                || !file.substring(sumAt + 1, end).equals(sum(head, text))
                || !words[2].equals(URLEncoder.encode(relay, StandardCharsets.UTF_8))) {
            return null;
        }
        try {
            return new ProcessMarker(relay, words[3], Long.parseLong(words[4]), Integer.parseInt(words[5]), text);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static String sum(String head, String text) {
        CRC32 sum = new CRC32();
        sum.update(head.getBytes(StandardCharsets.UTF_8));
        sum.update('\n');
        sum.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(sum.getValue());
    }
}
