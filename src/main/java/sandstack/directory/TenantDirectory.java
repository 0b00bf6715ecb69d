package sandstack.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.unboundid.ldap.sdk.LDAPConnection;
import com.unboundid.ldap.sdk.LDAPConnectionOptions;
import com.unboundid.ldap.sdk.LDAPException;
import com.unboundid.ldap.sdk.SearchResultEntry;
import com.unboundid.ldap.sdk.SearchScope;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import sandstack.concurrent.Futures;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.core.TenantRegistry;

/**
 * Reads the tenants from an LDAP directory, now and then, on a thread of its own: the library waits for its
 * answers. While the directory cannot be reached, the last list stays.
 */
public final class TenantDirectory implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("sandstack.directory");
    private static final int LDAP_TIMEOUT_MILLIS = 3_000;
    private static final String FILE = "directory.toml";

    /**
     * Where and how the tenants are found.
     *
     * @param user distinguished name to bind as; empty for none
     */
    public record DirectoryLocation(
            Address server,
            String user,
            String password,
            String base,
            String filter,
            String name,
            String share,
            String connections,
            long refreshMillis) {

        /** Reads the file of ours. */
        public static DirectoryLocation read(JsonNode values) throws InvalidConfigurationException {
            long refresh = values.path("refresh_s").asLong(60);
            if (refresh < 1) {
                throw new InvalidConfigurationException(FILE + ": refresh_s must be at least 1");
            }
            return new DirectoryLocation(
                    Address.parse(DeployFiles.text(values, "server", FILE), FILE + ": server"),
                    values.path("user").asText(""),
                    values.path("password").asText(""),
                    DeployFiles.text(values, "base", FILE),
                    DeployFiles.text(values, "filter", FILE),
                    values.path("name").asText("cn"),
                    values.path("share").asText("sandstackShare"),
                    values.path("connections").asText("sandstackConnections"),
                    refresh * 1000);
        }
    }

    private final DirectoryLocation location;
    private final Consumer<List<TenantRegistry.Entry>> listener;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread newThread = new Thread(task, "directory");
        newThread.setDaemon(true);
        return newThread;
    });
    private boolean reachable = true;

    /**
     * Creates a reader, which reads nothing before {@link #start}.
     *
     * @param listener takes each list that was read, on the directory's thread
     */
    public TenantDirectory(DirectoryLocation location, Consumer<List<TenantRegistry.Entry>> listener) {
        this.location = location;
        this.listener = listener;
    }

    /** Reads the directory at once and then at its refresh interval, until it is closed. */
    public void start() {
        // refresh reports its own failures; a shutdown of the scheduler ends it
        Futures.ignore(
                scheduler.scheduleWithFixedDelay(this::refresh, 0, location.refreshMillis(), TimeUnit.MILLISECONDS));
    }

    private void refresh() {
        try {
            listener.accept(read());
            if (!reachable) {
                LOG.info("the directory at " + location.server() + " answers again");
            }
            reachable = true;
        } catch (LDAPException e) {
            if (reachable) {
                LOG.warning("the directory at " + location.server() + " cannot be read, the last tenants stay: "
                        + e.getResultCode().getName());
            }
            reachable = false;
        } catch (RuntimeException e) {
            // thrown further, it would end the refreshing without a word
            LOG.warning("fault while reading the directory: " + e);
        }
    }

    /** Reads the list once. */
    List<TenantRegistry.Entry> read() throws LDAPException {
        LDAPConnectionOptions options = new LDAPConnectionOptions();
        options.setConnectTimeoutMillis(LDAP_TIMEOUT_MILLIS);
        options.setResponseTimeoutMillis(LDAP_TIMEOUT_MILLIS);
        try (LDAPConnection connection = new LDAPConnection(
                options, location.server().host(), location.server().port())) {
            if (!location.user().isEmpty()) {
                connection.bind(location.user(), location.password());
            }
            List<TenantRegistry.Entry> entries = new ArrayList<>();
            for (SearchResultEntry found : connection
                    .search(
                            location.base(),
                            SearchScope.SUB,
                            location.filter(),
                            location.name(),
                            location.share(),
                            location.connections())
                    .getSearchEntries()) {
                TenantRegistry.Entry entry = toTenant(found);
                if (entry != null) {
                    entries.add(entry);
                }
            }
            return entries;
        }
    }

    /** One tenant; null where the directory has no sense of it, which must not cost the others theirs. */
    private TenantRegistry.Entry toTenant(SearchResultEntry found) {
        try {
            String name = found.getAttributeValue(location.name());
            double share = Double.parseDouble(found.getAttributeValue(location.share()));
            double connections = Double.parseDouble(found.getAttributeValue(location.connections()));
            if (name != null && share >= 0 && connections >= 0 && share <= 1) {
                return new TenantRegistry.Entry(name, share, connections);
            }
        } catch (NumberFormatException | NullPointerException e) {
            // told below
        }
        LOG.warning("tenant passed over, its share or connections make no sense: " + found.getDN());
        return null;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
