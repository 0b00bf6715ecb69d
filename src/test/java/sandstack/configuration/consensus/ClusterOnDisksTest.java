package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.configuration.ConfigurationLimits;

/**
 * Runs the simulated cluster on real store files: killed machines recover from them, rolled-back files are rejected.
 */
class ClusterOnDisksTest {
    private static final String NEW_IDENTITY_SETTING = "new_identity";
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 10;

    @TempDir
    Path folder;

    /** Opens the file of one machine, which is created only at the first start. */
    private final class FileStoreProvider implements SimulatedMachine.StoreProvider {
        private final SimulatedMachine machine;

        FileStoreProvider(SimulatedMachine machine) {
            this.machine = machine;
        }

        @Override
        public EncodedRaftStore open() throws IOException {
            Path file = folder.resolve(machine.identity.identity());
            return Files.exists(file)
                    ? MvStoreRaftStore.reopen(
                            file.toString(),
                            NEW_IDENTITY_SETTING,
                            SimulatedRaftNetwork.GROUP,
                            machine.identity,
                            ConfigurationLimits.DEFAULT)
                    : MvStoreRaftStore.create(
                            file.toString(),
                            NEW_IDENTITY_SETTING,
                            SimulatedRaftNetwork.GROUP,
                            machine.identity,
                            ConfigurationLimits.DEFAULT);
        }

        @Override
        public void crash(EncodedRaftStore store) {
            ((MvStoreRaftStore) store).closeImmediately();
        }
    }

    private SimulatedCluster started() {
        SimulatedCluster cluster = new SimulatedCluster(5, 11, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.machines.forEach(machine -> machine.storeProvider = new FileStoreProvider(machine));
        cluster.startAll();
        cluster.awaitLeader();
        return cluster;
    }

    private static void commit(SimulatedCluster cluster, int changes) {
        for (int i = 0; i < changes; i++) {
            assertThat(cluster.commitChange().outcome).isInstanceOf(ProposalOutcome.Committed.class);
        }
    }

    @Test
    void killedMachinesRecoverFromTheirFiles() {
        SimulatedCluster cluster = started();
        commit(cluster, 13);
        SimulatedMachine first = cluster.awaitLeader();
        first.kill();
        commit(cluster, 25);
        cluster.start(first);
        commit(cluster, 2);
        cluster.machines.forEach(SimulatedMachine::kill);
        cluster.startAll();
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(Duration.ofSeconds(16))).isEmpty();
        assertThat(cluster.checker.committedChanges()).isEqualTo(45);
        cluster.machines.forEach(SimulatedMachine::kill);
    }

    @Test
    void machineWithARolledBackFileDoesNotStart() throws IOException {
        SimulatedCluster cluster = started();
        commit(cluster, 3);
        SimulatedMachine machine = cluster.machines.get(0);
        machine.kill();
        Path file = folder.resolve(machine.identity.identity());
        byte[] older = Files.readAllBytes(file);
        cluster.start(machine);
        commit(cluster, 5);
        machine.kill();
        Files.write(file, older);
        assertThatThrownBy(() -> cluster.start(machine))
                .isInstanceOf(UncheckedIOException.class)
                .hasMessageContaining(file.toString())
                .hasMessageContaining("rolled back");
        machine.kill();
        cluster.machines.remove(machine);
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(Duration.ofSeconds(16))).isEmpty();
        cluster.machines.forEach(SimulatedMachine::kill);
    }
}
