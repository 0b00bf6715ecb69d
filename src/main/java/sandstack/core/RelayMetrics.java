package sandstack.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All that a process counts of itself, from 0. Owned by the {@link Relay} and raised on its thread, where a thing
 * happens; O(1) each. Classes go by name, so that one that vanishes keeps its counts.
 */
public final class RelayMetrics {
    private static final String PREFIX = "edge_proxy.";

    /** What became of the connections of one class. */
    private static final class OfClass {
        long ok;
        long shed;
        long errors;
        long tries;
    }

    private final Map<String, OfClass> classes = new LinkedHashMap<>();
    private long applied;
    private long rejected;

    private OfClass of(String name) {
        return classes.computeIfAbsent(name, n -> new OfClass());
    }

    /** From now on this class is shown, if only with zeros. */
    void offered(Iterable<String> names) {
        names.forEach(this::of);
    }

    void up(String name) {
        of(name).ok++;
    }

    /** A command of this class had this final answer. */
    void answered(String name, Rejection.Kind kind) {
        if (kind == Rejection.Kind.REJECTED) {
            of(name).shed++;
        } else {
            of(name).errors++;
        }
    }

    /** An attempt's last byte has been written to a feed server. */
    void tried(String name) {
        of(name).tries++;
    }

    /** A configuration was taken at a reload. */
    void configApplied() {
        applied++;
    }

    /** A configuration was turned down at a reload. */
    void configRejected() {
        rejected++;
    }

    /**
     * All figures, a line each.
     *
     * @param active commands taken and not ended
     * @param pool feed servers in the list
     * @param ejected those of them that are avoided now
     */
    List<String> lines(int active, int pool, int ejected) {
        List<String> lines = new ArrayList<>();
        long tries = 0;
        for (Map.Entry<String, OfClass> entry : classes.entrySet()) {
            String name = PREFIX + "responses." + entry.getKey() + ".";
            OfClass c = entry.getValue();
            lines.add(name + "ok=" + c.ok);
            lines.add(name + "shed=" + c.shed);
            lines.add(name + "errors=" + c.errors);
            lines.add(name + "tries=" + c.tries);
            tries += c.tries;
        }
        lines.add(PREFIX + "tries=" + tries);
        lines.add(PREFIX + "active=" + active);
        lines.add(PREFIX + "pool_size=" + pool);
        lines.add(PREFIX + "pool_ejected=" + ejected);
        lines.add(PREFIX + "config_applied=" + applied);
        lines.add(PREFIX + "config_rejected=" + rejected);
        return lines;
    }
}
