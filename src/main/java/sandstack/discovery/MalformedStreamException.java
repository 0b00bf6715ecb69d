package sandstack.discovery;

import java.io.IOException;

/** Thrown if a stream is JSON, but not a sequence of objects within the length limit. */
public final class MalformedStreamException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedStreamException(String message) {
        super(message);
    }
}
