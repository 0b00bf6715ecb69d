package sandstack.fleet.link;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import sandstack.fleet.FleetMessages;

/** The members' words as JSON, each with its version. Pure; O(characters) a body. */
final class MessageJson {
    private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(8).build())
            .build());

    /** A body that is none of ours. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String why) {
            super(why);
        }
    }

    private MessageJson() {}

    static String write(Object message) {
        try {
            return JSON.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("words of ours that are no JSON", e);
        }
    }

    /** Reads a body; the version is looked at before anything else, as a later one may have other fields. */
    static <T> T read(Object data, Class<T> type) throws MalformedMessageException {
        if (!(data instanceof String text)) {
            throw new MalformedMessageException("a body that is no text");
        }
        try {
            JsonNode body = JSON.readTree(text);
            if (!body.path("v").isInt() || body.path("v").asInt() < 1) {
                throw new MalformedMessageException("a body without a version");
            }
            if (body.path("v").asInt() > FleetMessages.PROTOCOL_VERSION) {
                throw new MalformedMessageException("version " + body.path("v").asInt()
                        + " of the words, known are up to " + FleetMessages.PROTOCOL_VERSION);
            }
            return JSON.treeToValue(body, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new MalformedMessageException("a body that is no " + type.getSimpleName());
        }
    }
}
