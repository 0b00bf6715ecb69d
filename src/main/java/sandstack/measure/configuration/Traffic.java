package sandstack.measure.configuration;

/** Messages and bytes of one process. One thread. */
public final class Traffic {
    /** Length prefix, and the headers of IPv4 and TCP with timestamps for the segment and its acknowledgement. */
    public static final int FRAME_OVERHEAD_BYTES = 4 + 52 + 52;

    long messages;
    long bytes;
    long otherRegionBytes;

    /** Sent and received. */
    public long messages() {
        return messages;
    }

    /** Sent and received, each frame with {@link #FRAME_OVERHEAD_BYTES}. */
    public long bytes() {
        return bytes;
    }

    /** The part of the bytes that crosses regions. */
    public long otherRegionBytes() {
        return otherRegionBytes;
    }

    void count(int frameBytes, boolean otherRegion) {
        int all = frameBytes + FRAME_OVERHEAD_BYTES;
        messages++;
        bytes += all;
        if (otherRegion) {
            otherRegionBytes += all;
        }
    }

    void reset() {
        messages = 0;
        bytes = 0;
        otherRegionBytes = 0;
    }
}
