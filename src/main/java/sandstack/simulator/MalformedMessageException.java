package sandstack.simulator;

/** The input from the simulator violates the protocol. The exception message is one line. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param position the batch that contains the error, or the previous batch if its number has not been read
     * @param problem the event and field, and what is wrong with them
     */
    MalformedMessageException(String position, String problem) {
        super(position + ": " + problem);
    }
}
