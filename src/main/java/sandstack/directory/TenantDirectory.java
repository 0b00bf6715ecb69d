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
 * Reads the tenants from an LDAP directory periodically, on its own thread, because the LDAP library blocks. While the
 * directory is unreachable, the last list stays in force.
 */
public final class TenantDirectory implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("sandstack.directory");
    private static final int LDAP_TIMEOUT_MILLIS = 3_000;
    private static final int DEFAULT_REFRESH_SECONDS = 60;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final String FILE = "directory.toml";

    /**
     * Address and credentials of the directory, and how tenants are searched there.
     *
     * @param server address of the directory
     * @param bindDn distinguished name to bind as; empty to search anonymously
     * @param password password for {@code bindDn}
     * @param baseDn distinguished name below which tenants are searched
     * @param filter LDAP filter that selects the tenants
     * @param nameAttribute attribute that holds a tenant's name
     * @param shareAttribute attribute that holds the tenant's share of the service
     * @param connectionsAttribute attribute that holds the tenant's connection quota
     * @param refreshMillis interval between the end of a search and the next search
     */
    public record DirectoryConfig(
            Address server,
            String bindDn,
            String password,
            String baseDn,
            String filter,
            String nameAttribute,
            String shareAttribute,
            String connectionsAttribute,
            long refreshMillis) {

        /** Reads the values of {@code directory.toml}. */
        public static DirectoryConfig read(JsonNode values) throws InvalidConfigurationException {
            long refreshSeconds = values.path("refresh_s").asLong(DEFAULT_REFRESH_SECONDS);
            if (refreshSeconds < 1) {
                throw new InvalidConfigurationException(FILE + ": refresh_s must be at least 1");
            }
            return new DirectoryConfig(
                    Address.parse(DeployFiles.requiredText(values, "server", FILE), FILE + ": server"),
                    values.path("user").asText(""),
                    values.path("password").asText(""),
                    DeployFiles.requiredText(values, "base", FILE),
                    DeployFiles.requiredText(values, "filter", FILE),
                    values.path("name").asText("cn"),
                    values.path("share").asText("sandstackShare"),
                    values.path("connections").asText("sandstackConnections"),
                    refreshSeconds * MILLIS_PER_SECOND);
        }
    }

    private final DirectoryConfig config;
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
    public TenantDirectory(DirectoryConfig config, Consumer<List<TenantRegistry.Entry>> listener) {
        this.config = config;
        this.listener = listener;
    }

    /** Starts to read the directory: immediately, then periodically until {@link #close}. */
    public void start() {
        // the future is not needed: refresh logs its own failures, and shutting down the scheduler ends the refreshes
        Futures.ignore(
                scheduler.scheduleWithFixedDelay(this::refresh, 0, config.refreshMillis(), TimeUnit.MILLISECONDS));
    }

    private void refresh() {
        try {
            listener.accept(read());
            if (!reachable) {
                LOG.info("directory reachable again address=" + config.server());
            }
            reachable = true;
        } catch (LDAPException e) {
            if (reachable) {
                LOG.warning("directory cannot be read, last tenants stay in force address=" + config.server()
                        + " cause=\"" + e.getResultCode().getName() + "\"");
            }
            reachable = false;
        } catch (RuntimeException e) {
            // an exception that leaves this method would silently end the periodic refresh
            LOG.warning("directory refresh failed address=" + config.server() + " cause=\"" + e + "\"");
        }
    }

    /** Searches the directory once, and returns the tenants whose attributes are valid. */
    List<TenantRegistry.Entry> read() throws LDAPException {
        LDAPConnectionOptions options = new LDAPConnectionOptions();
        options.setConnectTimeoutMillis(LDAP_TIMEOUT_MILLIS);
        options.setResponseTimeoutMillis(LDAP_TIMEOUT_MILLIS);
        try (LDAPConnection connection = new LDAPConnection(
                options, config.server().host(), config.server().port())) {
            if (!config.bindDn().isEmpty()) {
                connection.bind(config.bindDn(), config.password());
            }
            List<TenantRegistry.Entry> tenants = new ArrayList<>();
            for (SearchResultEntry entry : search(connection)) {
                toTenant(entry).ifPresent(tenants::add);
            }
            return tenants;
        }
    }

    private List<SearchResultEntry> search(LDAPConnection connection) throws LDAPException {
        return connection
                .search(
                        config.baseDn(),
                        SearchScope.SUB,
                        config.filter(),
                        config.nameAttribute(),
                        config.shareAttribute(),
                        config.connectionsAttribute())
                .getSearchEntries();
    }

    /** Converts one entry; empty if its attributes are invalid, which does not affect the other tenants. */
    private Optional<TenantRegistry.Entry> toTenant(SearchResultEntry entry) {
        try {
            String name = entry.getAttributeValue(config.nameAttribute());
            double share = Double.parseDouble(entry.getAttributeValue(config.shareAttribute()));
            double connections = Double.parseDouble(entry.getAttributeValue(config.connectionsAttribute()));
            if (name != null && share >= 0 && connections >= 0 && share <= 1) {
                return Optional.of(new TenantRegistry.Entry(name, share, connections));
            }
        } catch (NumberFormatException | NullPointerException e) {
            // logged below
        }
        LOG.warning("tenant ignored, its share or connections are invalid dn=\"" + entry.getDN() + "\"");
        return Optional.empty();
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
