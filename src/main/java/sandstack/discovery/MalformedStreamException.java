package sandstack.discovery;

import java.io.IOException;

/** The stream is JSON, but not a sequence of objects of a bounded length. */
public final class MalformedStreamException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedStreamException(String message) {
        super(message);
    }
}
