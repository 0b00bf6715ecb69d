package sandstack.configuration;

/** A configuration could not be stored. */
public final class ConfigurationStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Names what failed.
     *
     * @param message one line
     * @param cause null where there is none
     */
    public ConfigurationStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
