package sandstack.core;

import java.util.Map;
import java.util.function.Consumer;
import sandstack.random.BoundedMap;

/**
 * The ids that requests of this process have claimed; beyond a number of ids, those that were claimed first are
 * forgotten. Used on the event loop's thread only.
 */
public final class LocalRequestIds implements RequestIds {
    private static final int MAX_IDS = 4096;

    private final Map<String, Boolean> claimed = new BoundedMap<>(MAX_IDS);

    /** Creates an object without claimed ids. */
    public LocalRequestIds() {}

    @Override
    public void claim(String id, Consumer<Boolean> whenDecided) {
        whenDecided.accept(claimed.putIfAbsent(id, true) == null);
    }

    @Override
    public void release(String id) {
        claimed.remove(id);
    }
}
