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
 * What one watch or answer has said so far, as whole objects: one a line, several, or one over many lines. Bytes may come
 * in pieces of any size. Owned by its watch, on the loop's thread; time is linear in the bytes, memory is that of one
 * object, which may be so many bytes long and no longer.
 */
public final class JsonObjectStream {
    /** The whole list of a large site is far below this. */
    private static final int LONGEST = 4 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer object = new TokenBuffer(JSON, false);
    private int depth;
    private long length;

    /** A stream of which nothing has been heard. */
    public JsonObjectStream() {
        try {
            parser = new JsonFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser without input cannot fail", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Whether an object has begun and not ended. */
    public boolean partial() {
        return depth > 0;
    }

    /** Takes what came; returns the objects that it completes, in order. */
    public List<JsonNode> heard(byte[] bytes) throws IOException {
        List<JsonNode> whole = new ArrayList<>(1);
        length += bytes.length;
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken t = parser.nextToken(); t != null && t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
            if (depth == 0 && t != JsonToken.START_OBJECT) {
                throw new IOException("no object, but " + t);
            }
            object.copyCurrentEvent(parser);
            depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                whole.add(JSON.readTree(object.asParserOnFirstToken()));
                object = new TokenBuffer(JSON, false);
            }
        }
        length = depth == 0 ? 0 : length;
        if (length > LONGEST) {
            throw new IOException("an object without an end");
        }
        return whole;
    }
}
