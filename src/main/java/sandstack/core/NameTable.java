package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/** Discovery's list of feed servers as this relay last heard it, with their addresses. */
public final class NameTable {
    /** One feed server: what the module is told of it, and where it listens for this relay. */
    public record Line(EndpointEntry entry, String host, int port) {
        /** The same feed server in another phase. */
        Line in(EndpointState phase) {
            return new Line(
                    new EndpointEntry(
                            entry.serverId(),
                            entry.zone(),
                            entry.cell(),
                            entry.machineKind(),
                            entry.startedAtMicros(),
                            phase,
                            entry.rating()),
                    host,
                    port);
        }
    }

    /** News from discovery: the whole list or what changed, and the version that it leads to. */
    public record News(EndpointListKind kind, long version, List<Line> lines) {
        List<EndpointEntry> entries() {
            return lines.stream().map(Line::entry).toList();
        }
    }

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private long version = -1;
    private boolean told;
    private long changes;

    void apply(News news) {
        if (news.kind() != EndpointListKind.DELTA) {
            lines.clear();
        }
        version = news.version();
        changes++;
        told |= news.kind() != EndpointListKind.CACHED;
        for (Line line : news.lines()) {
            if (line.entry().state() == EndpointState.GONE) {
                lines.remove(line.entry().serverId());
            } else {
                lines.put(line.entry().serverId(), line);
            }
        }
    }

    /** The line of this feed server; null where it is not listed. */
    public Line get(String server) {
        return lines.get(server);
    }

    /** The lines of all listed feed servers; a view that follows the table. */
    public Collection<Line> lines() {
        return lines.values();
    }

    /** Whether discovery has told anything since the start. */
    public boolean told() {
        return told;
    }

    /** How often the list has changed since the start. */
    public long changes() {
        return changes;
    }

    /** Whether a feed server is listed that takes clients. */
    public boolean usable() {
        return lines.values().stream().anyMatch(line -> line.entry().state() == EndpointState.READY);
    }

    /** Version of the list; -1 before any has come. */
    public long version() {
        return version;
    }
}
