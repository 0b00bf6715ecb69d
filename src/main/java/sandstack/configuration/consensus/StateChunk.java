package sandstack.configuration.consensus;

import java.util.Arrays;

/**
 * One chunk of the state machine's encoded state, as snapshots are sent and stored.
 *
 * @param bytes never modified
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
