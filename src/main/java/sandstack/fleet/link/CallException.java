package sandstack.fleet.link;

/** A remote call that has failed, with the reason that the called member or this one gives. */
public final class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CallException(String reason) {
        super(reason);
    }
}
