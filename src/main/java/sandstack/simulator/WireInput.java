package sandstack.simulator;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.Closeable;
import java.io.IOException;

/**
 * The input from the simulator as JSON tokens, and the position that errors name: "batch N", or "after batch N" with
 * the number of the previous batch while that of the current one has not been read. Used by one thread.
 */
final class WireInput implements Closeable {
    private final JsonParser json;
    /** Serial number of the current batch, or of the previous one until the current one's is known. */
    private long serial;

    private boolean serialKnown;

    WireInput(JsonParser json) {
        this.json = json;
    }

    /** The next token; null at the end of the input. */
    JsonToken next() throws IOException {
        return json.nextToken();
    }

    JsonToken current() {
        return json.currentToken();
    }

    /** The name of the field read last. */
    String fieldName() throws IOException {
        return json.currentName();
    }

    /** The current value of any type, as text. */
    String text() throws IOException {
        return json.getText();
    }

    /** The current value, which must be an integer; see {@link #requireInteger}. */
    long integer() throws IOException {
        return json.getLongValue();
    }

    /** The current value, which must be a number. */
    double number() throws IOException {
        return json.getDoubleValue();
    }

    /** Skips to the end of the object or array that starts at the current token; no effect at other tokens. */
    void skipChildren() throws IOException {
        json.skipChildren();
    }

    /** The underlying parser, for a reader that also reads other inputs. */
    JsonParser json() {
        return json;
    }

    /** Fails with this problem unless the current token is of the expected type. */
    void expect(JsonToken expected, String problem) throws MalformedMessageException {
        if (json.currentToken() != expected) {
            throw malformed(problem);
        }
    }

    /** The current value; fails if it is not an integer. */
    long requireInteger(String field) throws IOException, MalformedMessageException {
        expect(JsonToken.VALUE_NUMBER_INT, field + " is not an integer");
        return integer();
    }

    /** Starts a batch whose serial number is not known yet. */
    void startBatch() {
        serialKnown = false;
    }

    /** Sets the serial number of the current batch. */
    void setSerial(long batchSerial) {
        serial = batchSerial;
        serialKnown = true;
    }

    /** The error for this problem at the current position. */
    MalformedMessageException malformed(String problem) {
        String position = (serialKnown ? "batch " : "after batch ") + serial;
        return new MalformedMessageException(position, problem);
    }

    MalformedMessageException notJson(JsonParseException e) {
        return malformed("not JSON: " + e.getOriginalMessage());
    }

    @Override
    public void close() throws IOException {
        json.close();
    }
}
