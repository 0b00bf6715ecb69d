package sandstack.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of bytes into JSON objects, independent of line breaks; bytes may arrive in pieces of any size. Takes
 * time linear in the number of bytes, and memory for one object, whose length is limited. Not thread-safe.
 */
public final class JsonObjectStream {
    /**
     * Limit on the length of one object, together with all bytes since a chunk last ended at the end of an object. The
     * complete list of a large site is far shorter.
     */
    private static final int MAX_OBJECT_BYTES = 4 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer object = new TokenBuffer(JSON, false);
    private int depth;
    private long objectBytes;

    /** Creates a stream without input. */
    public JsonObjectStream() {
        try {
            parser = new JsonFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("creating a parser without input failed", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Whether the latest object is incomplete. */
    public boolean hasPartialObject() {
        return depth > 0;
    }

    /**
     * Parses the next bytes and returns the objects that they complete, in order.
     *
     * @throws MalformedStreamException if the stream contains something other than objects, or an object is too long
     * @throws IOException if the bytes are not JSON
     */
    public List<JsonNode> feed(byte[] bytes) throws IOException {
        List<JsonNode> objects = new ArrayList<>(1);
        objectBytes += bytes.length;
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken();
                token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            if (depth == 0 && token != JsonToken.START_OBJECT) {
                throw new MalformedStreamException("expected a JSON object, found " + token);
            }
            object.copyCurrentEvent(parser);
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                objects.add(JSON.readTree(object.asParserOnFirstToken()));
                object = new TokenBuffer(JSON, false);
            }
        }
        objectBytes = depth == 0 ? 0 : objectBytes;
        if (objectBytes > MAX_OBJECT_BYTES) {
            throw new MalformedStreamException("JSON object too long");
        }
        return objects;
    }
}
