package sandstack.random;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that holds the newest so many keys and forgets the one that was put first. One thread; O(1) a call. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxSize;

    /** Creates an empty map that holds {@code most} keys at most. */
    public BoundedMap(int maxSize) {
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
