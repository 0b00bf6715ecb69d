package sandstack.measure.configuration;

/** Counters of messages and bytes of one process. Not thread-safe. */
public final class ProcessTraffic {
    /**
     * Bytes per frame in addition to its content: the length prefix, and IPv4 and TCP headers with timestamps, of the
     * segment and of its acknowledgement.
     */
    public static final int FRAME_OVERHEAD_BYTES = 4 + 52 + 52;

    long messages;
    long bytes;
    long otherRegionBytes;

    /** Messages sent and received. */
    public long messages() {
        return messages;
    }

    /** Bytes sent and received, including {@link #FRAME_OVERHEAD_BYTES} per frame. */
    public long bytes() {
        return bytes;
    }

    /** The part of the bytes that crosses regions. */
    public long otherRegionBytes() {
        return otherRegionBytes;
    }

    void count(int frameBytes, boolean otherRegion) {
        int wireBytes = frameBytes + FRAME_OVERHEAD_BYTES;
        messages++;
        bytes += wireBytes;
        if (otherRegion) {
            otherRegionBytes += wireBytes;
        }
    }

    void reset() {
        messages = 0;
        bytes = 0;
        otherRegionBytes = 0;
    }
}
