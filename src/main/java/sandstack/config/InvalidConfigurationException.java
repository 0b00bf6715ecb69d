package sandstack.config;

/** Settings or a configuration that cannot be used; the message is one line that names what is wrong. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the error; its message is one line that names file, key and value. */
    public InvalidConfigurationException(String message) {
        super(message);
    }
}
