package sandstack.configuration.consensus;

import java.io.IOException;

/**
 * A store with which this machine must not vote; the message is one line that names the file and, where a setting
 * helps, its key.
 */
public final class RejectedStoreException extends IOException {
    private static final long serialVersionUID = 1L;

    RejectedStoreException(String message) {
        super(message.replaceAll("\\p{Cntrl}", " "));
    }
}
