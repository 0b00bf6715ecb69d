package sandstack.configuration.consensus;

import java.io.IOException;

/**
 * Thrown for a store with which this machine must not vote. The message is one line that names the file and, if a
 * setting resolves the problem, the key of that setting.
 */
public final class RejectedStoreException extends IOException {
    private static final long serialVersionUID = 1L;

    RejectedStoreException(String message) {
        super(message.replaceAll("\\p{Cntrl}", " "));
    }
}
