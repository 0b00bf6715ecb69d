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
import sandstack.directory.TenantDirectory.DirectoryLocation;

/** Tenants read from a simulated LDAP directory, also while it is unreachable. */
class TenantDirectoryTest {
    private static DirectoryLocation where(int port, String more) throws Exception {
        return DirectoryLocation.read(new TomlMapper()
                .readTree("server = \"127.0.0.1:" + port + "\"\nuser = \""
                        + StandInDirectory.USER + "\"\npassword = \"" + StandInDirectory.PASSWORD
                        + "\"\nbase = \"ou=tenants,dc=example\"\nfilter = \"(objectClass=sandstackTenant)\"\n" + more));
    }

    @Test
    void readsTenantsAndIgnoresInvalidOnes() throws Exception {
        try (StandInDirectory directory = new StandInDirectory()) {
            directory.entries = List.of(
                    StandInDirectory.tenant("gobi", "0.6", "120"),
                    StandInDirectory.tenant("altai", "0.4", "80"),
                    StandInDirectory.tenant("broken", "much", "1"));
            assertThat(new TenantDirectory(where(directory.port(), ""), list -> {}).read())
                    .containsExactly(
                            new TenantRegistry.Entry("gobi", 0.6, 120), new TenantRegistry.Entry("altai", 0.4, 80));
        }
    }

    /** An unreachable directory must neither empty the list nor end the scheduled refresh. */
    @Test
    void theLastListStaysWhileTheDirectoryIsUnreachable() throws Exception {
        BlockingQueue<List<TenantRegistry.Entry>> lists = new LinkedBlockingQueue<>();
        StandInDirectory directory = new StandInDirectory();
        directory.entries = List.of(StandInDirectory.tenant("gobi", "1", "10"));
        DirectoryLocation where = where(directory.port(), "refresh_s = 1");
        try (TenantDirectory reading = new TenantDirectory(where, lists::add)) {
            reading.start();
            assertThat(lists.poll(10, TimeUnit.SECONDS)).hasSize(1);
            directory.close();
            for (List<TenantRegistry.Entry> more = lists.poll(1500, TimeUnit.MILLISECONDS);
                    more != null;
                    more = lists.poll(1500, TimeUnit.MILLISECONDS)) {
                assertThat(more).as("a failure delivers no list").hasSize(1);
            }
        }
    }

    @Test
    void invalidFileIsReportedInOneLine() {
        assertThatThrownBy(() -> where(1, "refresh_s = 0"))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessage("directory.toml: refresh_s must be at least 1");
        assertThatThrownBy(() -> DirectoryLocation.read(new TomlMapper().readTree("server = \"nowhere\"")))
                .hasMessageContaining("HOST:PORT");
    }
}
