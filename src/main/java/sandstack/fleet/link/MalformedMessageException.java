package sandstack.fleet.link;

/** A message of another member that cannot be read. */
class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String reason) {
        super(reason);
    }

    MalformedMessageException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
