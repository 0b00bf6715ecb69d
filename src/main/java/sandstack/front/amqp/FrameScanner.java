package sandstack.front.amqp;

import sandstack.net.RingBuffer;

/** Finds the ends of frames and protocol headers in received bytes (AMQP 1.0, sections 2.2 and 2.3.1). Stateless. */
final class FrameScanner {
    /** Length of a protocol header: "AMQP", the protocol id and three bytes of version. */
    static final int PROTOCOL_HEADER_BYTES = 8;
    /** "AMQP", the first bytes of a protocol header, read as the size of a frame. */
    private static final int PROTOCOL_HEADER_PREFIX = 0x414d5150;

    private static final int MIN_FRAME_BYTES = 8;

    private FrameScanner() {}

    /**
     * Returns the length of the frame or protocol header at the start of the buffer; 0 if it is not complete. A frame
     * of an invalid size counts as complete with all bytes after it, so that the engine rejects it at once.
     *
     * @param maxFrameBytes maximum size of a frame
     */
    static int firstFrameBytes(RingBuffer input, int maxFrameBytes) {
        if (input.size() < Integer.BYTES) {
            return 0;
        }
        int firstBytes = input.intAt(0);
        if (firstBytes == PROTOCOL_HEADER_PREFIX) {
            return input.size() < PROTOCOL_HEADER_BYTES ? 0 : PROTOCOL_HEADER_BYTES;
        }
        if (firstBytes < MIN_FRAME_BYTES || firstBytes > maxFrameBytes) {
            return input.size();
        }
        return input.size() < firstBytes ? 0 : firstBytes;
    }
}
