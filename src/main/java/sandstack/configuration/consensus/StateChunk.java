package sandstack.configuration.consensus;

import java.util.Arrays;

/**
 * One chunk of the encoded state of the state machine; a snapshot is stored and sent as a list of chunks.
 *
 * @param bytes not copied, and must not be modified
 */
public record StateChunk(byte[] bytes) {
    @Override
    public boolean equals(Object other) {
        return other instanceof StateChunk that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }
}
