package sandstack.configuration;

/** A configuration could not be stored. */
public final class ConfigurationStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * With what went wrong.
     *
     * @param message one line
     */
    public ConfigurationStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
