package sandstack.directory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sandstack.config.InvalidConfigurationException;
import sandstack.core.TenantRegistry;
import sandstack.directory.TenantDirectory.DirectoryConfig;

/** Tenants are read from a fake LDAP server. While it is unreachable, the listener gets no empty list. */
class TenantDirectoryTest {
    private static DirectoryConfig config(int port, String furtherLines) throws Exception {
        return DirectoryConfig.read(new TomlMapper()
                .readTree("server = \"127.0.0.1:" + port + "\"\nuser = \""
                        + FakeLdapServer.USER + "\"\npassword = \"" + FakeLdapServer.PASSWORD
                        + "\"\nbase = \"ou=tenants,dc=example\"\nfilter = \"(objectClass=sandstackTenant)\"\n"
                        + furtherLines));
    }

    @Test
    void readsTenantsAndIgnoresInvalidOnes() throws Exception {
        try (FakeLdapServer directory = new FakeLdapServer()) {
            directory.entries = List.of(
                    FakeLdapServer.tenant("gobi", "0.6", "120"),
                    FakeLdapServer.tenant("altai", "0.4", "80"),
                    FakeLdapServer.tenant("broken", "much", "1"));
            assertThat(new TenantDirectory(config(directory.port(), ""), list -> {}).read())
                    .containsExactly(
                            new TenantRegistry.Entry("gobi", 0.6, 120), new TenantRegistry.Entry("altai", 0.4, 80));
        }
    }

    /** A failed refresh must not pass an empty list to the listener. */
    @Test
    void theLastListStaysWhileTheDirectoryIsUnreachable() throws Exception {
        BlockingQueue<List<TenantRegistry.Entry>> lists = new LinkedBlockingQueue<>();
        FakeLdapServer directory = new FakeLdapServer();
        directory.entries = List.of(FakeLdapServer.tenant("gobi", "1", "10"));
        DirectoryConfig config = config(directory.port(), "refresh_s = 1");
        try (TenantDirectory tenantDirectory = new TenantDirectory(config, lists::add)) {
            tenantDirectory.start();
            assertThat(lists.poll(10, TimeUnit.SECONDS)).hasSize(1);
            directory.close();
            for (List<TenantRegistry.Entry> next = lists.poll(1500, TimeUnit.MILLISECONDS);
                    next != null;
                    next = lists.poll(1500, TimeUnit.MILLISECONDS)) {
                assertThat(next)
                        .as("a list that was read before the directory became unreachable")
                        .hasSize(1);
            }
        }
    }

    @Test
    void invalidFileIsReportedInOneLine() {
        assertThatThrownBy(() -> config(1, "refresh_s = 0"))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessage("directory.toml: refresh_s must be at least 1");
        assertThatThrownBy(() -> DirectoryConfig.read(new TomlMapper().readTree("server = \"nowhere\"")))
                .hasMessageContaining("HOST:PORT");
    }
}
