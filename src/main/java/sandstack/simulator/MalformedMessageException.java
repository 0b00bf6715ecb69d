package sandstack.simulator;

/** A line that breaks the wire's rules; the message names the batch and the field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the error; its message is one line. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
