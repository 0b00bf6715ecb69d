package sandstack.config;

/** A setting or configuration file is invalid; the message is the error line that the operator reads. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is a single line and names the file, the key or the value that is invalid. */
    public InvalidConfigurationException(String message) {
        super(message);
    }
}
