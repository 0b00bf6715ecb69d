package sandstack.fleet.link;

/** A call to another member that has failed, with the reason that either of the two gives. */
public final class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CallException(String memberId, String kind, String reason) {
        super("call " + kind + " to " + memberId + " failed: " + reason);
    }
}
