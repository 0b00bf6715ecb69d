package sandstack.fleet.link;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import sandstack.fleet.FleetMessages;

/** Writes and reads messages between members as JSON text. Thread-safe. A message costs O(characters). */
final class MessageJson {
    private static final int MAX_NESTING_DEPTH = 8;
    private static final String VERSION_KEY = "v";
    private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build());

    private MessageJson() {}

    static String write(Object message) {
        try {
            return JSON.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot write a " + message.getClass().getSimpleName() + " as JSON", e);
        }
    }

    /**
     * Reads a message. The protocol version is checked first, because messages of later versions may have other fields.
     *
     * @param data the message body as the library delivers it
     */
    static <T> T read(Object data, Class<T> type) throws MalformedFleetMessageException {
        if (!(data instanceof String text)) {
            throw new MalformedFleetMessageException("message body is not text");
        }
        try {
            JsonNode body = JSON.readTree(text);
            checkVersion(body.path(VERSION_KEY));
            return JSON.treeToValue(body, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new MalformedFleetMessageException("message body is not a " + type.getSimpleName(), e);
        }
    }

    private static void checkVersion(JsonNode version) throws MalformedFleetMessageException {
        if (!version.isInt() || version.asInt() < 1) {
            throw new MalformedFleetMessageException("message body has no protocol version");
        }
        if (version.asInt() > FleetMessages.PROTOCOL_VERSION) {
            throw new UnsupportedVersionException(version.asInt());
        }
    }
}
