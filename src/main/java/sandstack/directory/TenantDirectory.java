package sandstack.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.unboundid.ldap.sdk.LDAPConnection;
import com.unboundid.ldap.sdk.LDAPConnectionOptions;
import com.unboundid.ldap.sdk.LDAPException;
import com.unboundid.ldap.sdk.SearchResultEntry;
import com.unboundid.ldap.sdk.SearchScope;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * Reads the tenants from an LDAP directory at an interval, on a thread of its own, because the library blocks. While
 * the directory is unreachable, the last list stays in force.
 */
public final class TenantDirectory implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("sandstack.directory");
    private static final int LDAP_TIMEOUT_MILLIS = 3_000;
    private static final int DEFAULT_REFRESH_SECONDS = 60;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final String FILE = "directory.toml";

    /**
     * Address of the directory, and the search for tenants.
     *
     * @param server address of the directory
     * @param user distinguished name to bind as; empty for none
     * @param password of the user
     * @param base distinguished name below which tenants are searched
     * @param filter of the search
     * @param name attribute of a tenant's name
     * @param share attribute of its share of the service
     * @param connections attribute of its connection quota
     * @param refreshMillis interval between two searches
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

        /** Reads the values of {@code directory.toml}. */
        public static DirectoryLocation read(JsonNode values) throws InvalidConfigurationException {
            long refreshSeconds = values.path("refresh_s").asLong(DEFAULT_REFRESH_SECONDS);
            if (refreshSeconds < 1) {
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
                    refreshSeconds * MILLIS_PER_SECOND);
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
     * Creates a directory that is not read before {@link #start}.
     *
     * @param listener receives each list that was read, on the directory's thread
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
                LOG.info("directory reachable again address=" + location.server());
            }
            reachable = true;
        } catch (LDAPException e) {
            if (reachable) {
                LOG.warning("directory cannot be read, last tenants stay in force address=" + location.server()
                        + " cause=\"" + e.getResultCode().getName() + "\"");
            }
            reachable = false;
        } catch (RuntimeException e) {
            // rethrown, it would silently end the scheduled refresh
            LOG.warning("directory refresh failed address=" + location.server() + " cause=\"" + e + "\"");
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
            List<TenantRegistry.Entry> tenants = new ArrayList<>();
            for (SearchResultEntry found : search(connection)) {
                toTenant(found).ifPresent(tenants::add);
            }
            return tenants;
        }
    }

    private List<SearchResultEntry> search(LDAPConnection connection) throws LDAPException {
        return connection
                .search(
                        location.base(),
                        SearchScope.SUB,
                        location.filter(),
                        location.name(),
                        location.share(),
                        location.connections())
                .getSearchEntries();
    }

    /** One tenant; empty if its attributes are invalid, which does not affect the other tenants. */
    private Optional<TenantRegistry.Entry> toTenant(SearchResultEntry found) {
        try {
            String name = found.getAttributeValue(location.name());
            double share = Double.parseDouble(found.getAttributeValue(location.share()));
            double connections = Double.parseDouble(found.getAttributeValue(location.connections()));
            if (name != null && share >= 0 && connections >= 0 && share <= 1) {
                return Optional.of(new TenantRegistry.Entry(name, share, connections));
            }
        } catch (NumberFormatException | NullPointerException e) {
            // logged below
        }
        LOG.warning("tenant ignored, its share or connections are invalid dn=\"" + found.getDN() + "\"");
        return Optional.empty();
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
