package sandstack.configuration;

/** Signals bytes that cannot be decoded to a configuration, change or message, or that exceed a size limit. */
public final class MalformedConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception that describes the malformed field.
     *
     * @param message one line, without the bytes themselves
     */
    public MalformedConfigurationException(String message) {
        super(message);
    }

    /** Converts this to a rejection with the reason {@code MALFORMED} and the message as its detail. */
    public ChangeRejection toRejection() {
        return new ChangeRejection(ChangeRejection.Reason.MALFORMED, getMessage());
    }
}
