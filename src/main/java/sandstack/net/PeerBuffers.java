package sandstack.net;

/**
 * The buffers of one socket, one for each direction. The input buffer of one socket may be the output buffer of
 * another, so that bytes are forwarded without a copy. Used on the event loop's thread only.
 */
final class PeerBuffers {
    private final HeapBudget heap;
    private final RingBuffer input;
    private RingBuffer output;
    /** Whether the input buffer is the output buffer of another socket. */
    private boolean inputShared;

    /**
     * Creates empty buffers.
     *
     * @param limitBytes capacity of each buffer
     * @param heap counts the memory of the buffers until {@link #stopCounting}
     */
    PeerBuffers(int limitBytes, HeapBudget heap) {
        this.heap = heap;
        input = new RingBuffer(limitBytes, heap);
        output = new RingBuffer(limitBytes, heap);
    }

    RingBuffer input() {
        return input;
    }

    RingBuffer output() {
        return output;
    }

    /** Uses the other socket's input buffer as output buffer, in place of the present one, which has to be empty. */
    void writeInputOf(PeerBuffers other) {
        output.stopCounting();
        output = other.input;
        other.inputShared = true;
    }

    /**
     * Whether the input buffer takes more bytes. While the heap budget is exceeded, a buffer that another socket writes
     * takes more only once that socket has written what it may.
     */
    boolean hasInputCapacity() {
        boolean waitsForWrite = inputShared && input.writableBytes() > 0 && heap.isExceeded();
        return input.remainingCapacity() > 0 && !waitsForWrite;
    }

    /** The heap that the buffers use, in bytes. */
    long heapBytes() {
        return (long) input.allocatedBytes() + output.allocatedBytes();
    }

    /**
     * Ends the counting of these buffers' memory, at the close of the socket. A shared input buffer still counts for
     * the socket that writes it.
     */
    void stopCounting() {
        output.stopCounting();
        if (!inputShared) {
            input.stopCounting();
        }
    }
}
