package sandstack.simulator;

/** The simulator sent a message that breaks the rules of its protocol. The message text is one line. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param position the batch in which it was found
     * @param problem the event and field, and what is wrong with it
     */
    MalformedMessageException(String position, String problem) {
        super(position + ": " + problem);
    }
}
