package sandstack.core;

import java.util.function.Consumer;

/**
 * The ids of requests that must not be executed twice. An id is claimed before its request is sent to a feed server,
 * and released if the request was certainly not executed. Used on the event loop's thread only.
 */
public interface RequestIds {
    /**
     * Claims an id. Calls back on the event loop's thread, at once or later: with true if no request has claimed the id
     * before, or with false.
     */
    void claim(String id, Consumer<Boolean> whenDecided);

    /** Releases a claimed id, so that another request may use it. */
    void release(String id);
}
