package sandstack.front.amqp;

import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.apache.qpid.protonj2.types.Symbol;

/**
 * Bounds the AMQP library's cache of symbols, which keeps every short symbol that any connection has ever sent. The
 * library offers no limit, so this class clears its maps; symbols that are in use stay valid, as they are compared by
 * their content. Stateless besides the library's maps, which are safe for use on any thread.
 */
final class SymbolCache {
    /** Size above which the cache is cleared; the names that AMQP and the relay define are a few hundred. */
    static final int MAX_SYMBOLS = 1024;

    private static final Logger LOG = Logger.getLogger("sandstack.amqp");
    private static final List<Map<?, ?>> MAPS = Stream.of("bufferToSymbols", "stringToSymbols")
            .<Map<?, ?>>map(SymbolCache::staticMap)
            .toList();

    private SymbolCache() {}

    private static Map<?, ?> staticMap(String name) {
        try {
            Field field = Symbol.class.getDeclaredField(name);
            field.setAccessible(true);
            return (Map<?, ?>) field.get(null);
        } catch (ReflectiveOperationException e) {
            LOG.warning("symbol cache of the AMQP library is not bounded cause=\"" + e + "\"");
            return Map.of();
        }
    }

    /** Clears the cache if it has more than {@link #MAX_SYMBOLS} symbols. */
    static void trim() {
        for (Map<?, ?> map : MAPS) {
            if (map.size() > MAX_SYMBOLS) {
                map.clear();
            }
        }
    }

    /** The number of symbols in the larger one of the library's two maps. */
    static int size() {
        return MAPS.stream().mapToInt(Map::size).max().orElse(0);
    }
}
