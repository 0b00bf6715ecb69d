package sandstack.fleet.link;

/** Thrown when a message from another member cannot be read. */
class MalformedFleetMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFleetMessageException(String reason) {
        super(reason);
    }

    MalformedFleetMessageException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
