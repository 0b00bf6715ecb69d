package sandstack.configuration.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationCheck;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationSnapshot;

/** A control machine in simulated time, which can be paused, killed, and started again on its disk. */
final class SimulatedMachine {
    static final ChangeValidator VALIDATOR = new ChangeValidator(ConfigurationLimits.DEFAULT, ConfigurationCheck.NONE);

    /** Creates the state machine; tests replace it in order to inject faults. */
    interface StateMachineCreator {
        ConfigurationStateMachine create(
                ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm);
    }

    /** Opens the store of a machine at each start, and closes it without a flush when the machine is killed. */
    interface StoreProvider {
        EncodedRaftStore open() throws IOException;

        void crash(EncodedRaftStore store);
    }

    final ControlIdentity identity;
    final int region;
    final SimulatedDisk disk;
    /** Provides the simulated disk unless a test sets another provider. */
    StoreProvider storeProvider;

    private EncodedRaftStore store;
    private final SimulatedCluster cluster;
    private final List<Runnable> pausedTasks = new ArrayList<>();
    private int incarnation;
    private boolean up;
    private boolean paused;
    StateMachineCreator stateMachineCreator = ConfigurationStateMachine::new;
    ControlNode node;

    SimulatedMachine(SimulatedCluster cluster, ControlIdentity identity, int region) {
        this.cluster = cluster;
        this.identity = identity;
        this.region = region;
        this.disk = new SimulatedDisk(identity.identity());
        this.storeProvider = new StoreProvider() {
            @Override
            public EncodedRaftStore open() {
                return disk;
            }

            @Override
            public void crash(EncodedRaftStore store) {
                disk.crash();
            }
        };
        cluster.network.attach(identity, region, this::receive);
    }

    boolean isUp() {
        return up;
    }

    boolean isWorking() {
        return up && !paused;
    }

    void start(ControlNodeSettings settings) {
        incarnation++;
        up = true;
        paused = false;
        pausedTasks.clear();
        try {
            store = storeProvider.open();
            ControlNodeEnvironment environment = new ControlNodeEnvironment(
                    executor(), transport(), store, cluster.time.clock(), new Random(cluster.random.nextLong()));
            CommittedChangeListener listener = listener(cluster.checker.new Incarnation(identity));
            node = new ControlNode(
                    settings, environment, VALIDATOR, term -> stateMachineCreator.create(VALIDATOR, listener, term));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        node.start();
    }

    void kill() {
        incarnation++;
        up = false;
        pausedTasks.clear();
        storeProvider.crash(store);
    }

    /**
     * Whether the disk stores this change. For a real file: whether the machine is up and has written the change, as
     * the flushes are not observed.
     */
    boolean storesDurably(CommittedChange change) {
        return (store == null || store == disk) ? disk.stores(change) : (up && SimulatedDisk.stores(store, change));
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> waiting = List.copyOf(pausedTasks);
        pausedTasks.clear();
        waiting.forEach(task -> cluster.time.after(0, task));
    }

    private void receive(RaftMessage message) {
        int ownIncarnation = incarnation;
        inIncarnation(ownIncarnation, () -> node.handle(message)).run();
    }

    private RaftNodeExecutor executor() {
        int ownIncarnation = incarnation;
        return new RaftNodeExecutor() {
            @Override
            public void execute(Runnable task) {
                cluster.time.after(0, inIncarnation(ownIncarnation, task));
            }

            @Override
            public void submit(Runnable task) {
                cluster.time.after(0, inIncarnation(ownIncarnation, task));
            }

            @Override
            public void schedule(Runnable task, long delay, TimeUnit unit) {
                cluster.time.after(unit.toMicros(delay), inIncarnation(ownIncarnation, task));
            }
        };
    }

    /** Wraps a task so that it is dropped after its incarnation ended, and deferred while the machine is paused. */
    private Runnable inIncarnation(int taskIncarnation, Runnable task) {
        return () -> {
            if (!up || taskIncarnation != incarnation) {
                return;
            }
            if (paused) {
                pausedTasks.add(inIncarnation(taskIncarnation, task));
                return;
            }
            task.run();
        };
    }

    private Transport transport() {
        int ownIncarnation = incarnation;
        return new Transport() {
            @Override
            public void send(RaftEndpoint target, RaftMessage message) {
                if (ownIncarnation == incarnation) {
                    cluster.network.send(identity, (ControlIdentity) target, message);
                }
            }

            @Override
            public boolean isReachable(RaftEndpoint endpoint) {
                return true;
            }
        };
    }

    private CommittedChangeListener listener(HistoryChecker.Incarnation checkedIncarnation) {
        return new CommittedChangeListener() {
            @Override
            public void committed(CommittedChange change) {
                checkedIncarnation.committed(change, () -> cluster.majorityStores(change));
            }

            @Override
            public void restored(ConfigurationSnapshot snapshot) {
                checkedIncarnation.restored(snapshot);
            }
        };
    }
}
