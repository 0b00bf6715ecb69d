package sandstack.fleet.link;

/**
 * Thrown when a call to another member fails. The message contains the reason, which the caller or the called member
 * gives.
 */
public final class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CallException(String memberId, String kind, String reason) {
        super("call " + kind + " to " + memberId + " failed: " + reason);
    }
}
