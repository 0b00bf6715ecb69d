package sandstack.fleet.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;
import java.util.logging.Logger;
import sandstack.config.FleetFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/**
 * This relay as a member of the fleet: its life cycle, and what other parts of the program may ask of it. Runs the
 * {@link Membership} on a thread of its own, on which nothing blocks, beside the few threads of the library. Public
 * methods may be called on any thread; only {@link #start} and {@link #close} wait.
 */
public final class FleetMember implements AutoCloseable {
    /** Maximum length of the body of a call and of its response, in characters. */
    public static final int MAX_BODY_LENGTH = 64 * 1024;

    static final String LOGGER_NAME = "sandstack.fleet";

    private static final Logger LOG = Logger.getLogger(LOGGER_NAME);
    /**
     * Loggers of the libraries, which are silenced: faults of peers are logged here, at a limited rate. The references
     * keep the levels, as loggers are only weakly reachable otherwise.
     */
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("io.scalecube"), Logger.getLogger("reactor"), Logger.getLogger("io.netty"));

    private static final int ID_LENGTH = 16;
    private static final long NAME_CONFLICT_TIMEOUT_MICROS = Membership.NAME_CLAIM_MICROS + 2 * Membership.TICK_MICROS;
    private static final long ADDRESS_RETRY_MILLIS = 500;

    /** Handles the calls of one kind from other members. */
    public interface CallHandler {
        /**
         * Handles a call. Runs on the fleet's thread and must not block.
         *
         * @param callerId incarnation id of the caller
         * @return the body of the response, or a failure with a short message
         */
        CompletableFuture<String> handle(String callerId, String body);
    }

    private final FleetFile fleetFile;
    private final Incarnation self;
    private final Membership membership;
    private final FleetExecutor executor;
    private final ClusterClient clusterClient;
    private final MembershipViewHolder viewHolder;
    private final CallServer callServer;
    private final CallClient callClient;
    private final ProtocolTask protocolTask;
    private final ClusterEventHandler eventHandler;

    /**
     * Creates a member that has not joined yet.
     *
     * @param name name of the relay
     * @param zone name of the zone in which it runs
     */
    public FleetMember(FleetFile fleetFile, String name, String zone) {
        LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
        this.fleetFile = fleetFile;
        this.self = new Incarnation(
                randomId(), name, zone, fleetFile.machine(), fleetFile.listen().toString());
        RateLimitedLog warnings = new RateLimitedLog(LOG);
        executor = new FleetExecutor(warnings);
        membership = new Membership(self, fleetFile.relays(), FleetExecutor.nowMicros(), new SplittableRandom());
        viewHolder = new MembershipViewHolder(
                membership, new MembershipEventLog(!fleetFile.relays().isEmpty()));
        clusterClient = new ClusterClient(fleetFile, self, executor.scheduler());
        callServer = new CallServer(clusterClient);
        callClient = new CallClient(self, clusterClient, viewHolder);
        protocolTask = new ProtocolTask(self, membership, clusterClient, viewHolder, warnings);
        eventHandler = new ClusterEventHandler(membership, executor, clusterClient, callServer, viewHolder, warnings);
    }

    private static String randomId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, ID_LENGTH);
    }

    /**
     * Joins the fleet. Waits for a few seconds at most, and for no member: without any it is alone until one answers.
     *
     * @throws InvalidConfigurationException if it cannot listen at its address, or a running member owns its name; it
     *     is closed then
     */
    public void start() throws InvalidConfigurationException {
        try {
            join();
        } catch (InvalidConfigurationException e) {
            close();
            throw e;
        }
    }

    private void join() throws InvalidConfigurationException {
        clusterClient.start(eventHandler);
        executor.scheduleAtFixedRate(protocolTask, Membership.TICK_MICROS);
        LOG.info("member started name=" + self.name() + " address=" + fleetFile.listen() + " incarnation=" + self.id());
        awaitNameClaim();
    }

    private void awaitNameClaim() throws InvalidConfigurationException {
        try {
            protocolTask.nameConflict().get(NAME_CONFLICT_TIMEOUT_MICROS, TimeUnit.MICROSECONDS);
            throw new InvalidConfigurationException(FleetFile.FILE + ": the name " + self.name()
                    + " is held by a member that lives; stop that one, or give this one a name of its own");
        } catch (TimeoutException e) {
            // no conflict
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Joins the fleet as soon as the address is free, on a thread of its own. During an upgrade two processes of a
     * relay run side by side; the previous one stays the member until it has released the address. Until then the view
     * contains this member alone.
     */
    public void startWhenAddressFree() {
        Thread thread = new Thread(this::awaitAddressAndStart, "fleet-join");
        thread.setDaemon(true);
        thread.start();
    }

    private void awaitAddressAndStart() {
        try {
            while (!executor.isShutdown() && !addressFree()) {
                Thread.sleep(ADDRESS_RETRY_MILLIS);
            }
            if (!executor.isShutdown()) {
                start();
            }
        } catch (InvalidConfigurationException e) {
            // the relay already serves clients and continues to
            LOG.severe("join failed reason=\"" + e.getMessage() + "\"");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean addressFree() {
        try (ServerSocket probe = new ServerSocket(
                fleetFile.listen().port(),
                1,
                InetAddress.getByName(fleetFile.listen().host()))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** The membership a moment ago, with the quorum state as it counts now. */
    public Membership.View view() {
        return viewHolder.view().asOf(FleetExecutor.nowMicros());
    }

    /**
     * Decommissions a lost relay, see {@link Membership#decommission}. Completes on the fleet's thread, with the reason
     * if it is refused.
     */
    public CompletableFuture<Optional<String>> decommission(String name) {
        CompletableFuture<Optional<String>> refusal = new CompletableFuture<>();
        executor.execute(() -> {
            refusal.complete(membership.decommission(name, FleetExecutor.nowMicros()));
            viewHolder.update();
        });
        return refusal;
    }

    /** Changes a value that this member publishes to all others; null removes it. */
    public void publish(String key, String value) {
        executor.execute(() -> membership.publish(key, value, FleetExecutor.nowMicros()));
    }

    /** Registers the handler of calls of this kind, in place of any before. */
    public void registerHandler(String kind, CallHandler handler) {
        callServer.register(kind, handler);
    }

    /**
     * Calls one member, without a retry. Completes on the fleet's thread with the body of the response, or fails with a
     * {@link CallException}: no response in time, too many calls in flight, not a member, or rejected there. A call
     * that fails may have been carried out.
     *
     * @param id incarnation id of the member
     * @param kind selects the handler there
     * @param body no longer than {@link #MAX_BODY_LENGTH}, or the call fails with an {@link IllegalArgumentException}
     */
    public CompletableFuture<String> call(String id, String kind, String body, Duration timeout) {
        return callClient.call(id, kind, body, timeout);
    }

    /** Announces to the other members that this one leaves, and shuts it down; waits for a short time at most. */
    @Override
    public void close() {
        clusterClient.shutdown();
        executor.shutdownNow();
    }
}
