package sandstack.configuration.consensus;

import java.io.IOException;

/** A disk that this machine must not vote with; the message is one line that names the file and the key to set. */
public final class RejectedStoreException extends IOException {
    private static final long serialVersionUID = 1L;

    RejectedStoreException(String message) {
        super(message.replaceAll("\\p{Cntrl}", " "));
    }
}
