package sandstack.configuration;

/** Bytes that are no configuration, change or message of this format, or that exceed its bounds. */
public final class MalformedConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Names what is malformed.
     *
     * @param message one line, without the bytes themselves
     */
    public MalformedConfigurationException(String message) {
        super(message);
    }

    /** As a rejection with the reason {@code MALFORMED}. */
    public ChangeRejection toRejection() {
        return new ChangeRejection(ChangeRejection.Reason.MALFORMED, getMessage());
    }
}
