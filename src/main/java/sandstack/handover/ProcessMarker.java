package sandstack.handover;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * The state that a process publishes about itself in a file for its sibling processes.
 *
 * @param relayName name of the relay; processes of other relays ignore the file
 * @param token identifies the process; random for each start
 * @param writtenAtMicros when the file was written, in Unix microseconds
 * @param descriptorsInUse number of descriptors that the process uses for connections
 * @param content the endpoint list in a list file; empty in a marker file
 */
record ProcessMarker(String relayName, String token, long writtenAtMicros, int descriptorsInUse, String content) {
    /** Name and version of the file format, which processes of other builds read too. */
    private static final String FORMAT = "sandstack-kin 1";
    /** Format name, format version, relay name, token, time and descriptors. */
    private static final int HEADER_FIELDS = 6;

    private static final int RELAY_NAME_FIELD = 2;
    private static final int TOKEN_FIELD = 3;
    private static final int WRITTEN_AT_FIELD = 4;
    private static final int DESCRIPTORS_FIELD = 5;

    /** Returns the file's text: a header line that ends with a checksum over header and content, then the content. */
    String encode() {
        String header =
                FORMAT + " " + encodeName(relayName) + " " + token + " " + writtenAtMicros + " " + descriptorsInUse;
        return header + " " + checksum(header, content) + "\n" + content;
    }

    /** Parses a file's text; empty if it is incomplete, does not match its checksum, or is another relay's. */
    static Optional<ProcessMarker> decode(String file, String relayName) {
        int headerEnd = file.indexOf('\n');
        int checksumSeparator = headerEnd < 0 ? -1 : file.lastIndexOf(' ', headerEnd);
        if (checksumSeparator < 0) {
            return Optional.empty();
        }
        String header = file.substring(0, checksumSeparator);
        String content = file.substring(headerEnd + 1);
        String[] fields = header.split(" ", 0);
        if (fields.length != HEADER_FIELDS
                || !header.startsWith(FORMAT + " ")
                || !file.substring(checksumSeparator + 1, headerEnd).equals(checksum(header, content))
                || !fields[RELAY_NAME_FIELD].equals(encodeName(relayName))) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ProcessMarker(
                    relayName,
                    fields[TOKEN_FIELD],
                    Long.parseLong(fields[WRITTEN_AT_FIELD]),
                    Integer.parseInt(fields[DESCRIPTORS_FIELD]),
                    content));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String encodeName(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    private static String checksum(String header, String content) {
        CRC32 checksum = new CRC32();
        checksum.update(header.getBytes(StandardCharsets.UTF_8));
        checksum.update('\n');
        checksum.update(content.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(checksum.getValue());
    }
}
