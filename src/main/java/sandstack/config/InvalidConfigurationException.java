package sandstack.config;

/** An invalid setting or configuration file; the message is one line for the operator. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message of one line that names file, key and value. */
    public InvalidConfigurationException(String message) {
        super(message);
    }
}
