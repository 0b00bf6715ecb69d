package sandstack.configuration;

/** Signals that a {@link ConfigurationStore} may not have stored a configuration. The relay logs it and continues. */
public final class ConfigurationStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception that describes the failed operation.
     *
     * @param message the failure in one line, for the log
     * @param cause the underlying failure; null if there is none
     */
    public ConfigurationStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
