package sandstack.simulator;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.Closeable;
import java.io.IOException;

/**
 * The input from the simulator as JSON tokens, with the position that errors name: the batch, or the one before it
 * while the serial number of the batch has not been read. One thread.
 */
final class WireInput implements Closeable {
    private final JsonParser json;
    private long serial;
    private boolean serialRead;

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

    /** The name of the field that was read last. */
    String fieldName() throws IOException {
        return json.currentName();
    }

    /** The current value as text, of whatever type it is. */
    String text() throws IOException {
        return json.getText();
    }

    /** The current value, which is an integer. */
    long integer() throws IOException {
        return json.getLongValue();
    }

    /** The current value, which is a number. */
    double number() throws IOException {
        return json.getDoubleValue();
    }

    /** Skips the rest of the current object or array, if it is one. */
    void skipChildren() throws IOException {
        json.skipChildren();
    }

    /** The parser, for a reader that is shared with other inputs. */
    JsonParser json() {
        return json;
    }

    void expect(JsonToken expected, String problem) throws MalformedMessageException {
        if (json.currentToken() != expected) {
            throw malformed(problem);
        }
    }

    long requireInteger(String field) throws IOException, MalformedMessageException {
        expect(JsonToken.VALUE_NUMBER_INT, field + " is not an integer");
        return integer();
    }

    /** A batch begins whose serial number is not known yet. */
    void startBatch() {
        serialRead = false;
    }

    void serialRead(long batchSerial) {
        serial = batchSerial;
        serialRead = true;
    }

    MalformedMessageException malformed(String problem) {
        String position = (serialRead ? "batch " : "after batch ") + serial;
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
