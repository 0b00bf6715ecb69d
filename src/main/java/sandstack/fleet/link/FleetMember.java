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
 * This relay as a member of the fleet: its life cycle, and the interface of the fleet to other parts of the program.
 * Runs the {@link Membership} on a dedicated thread that never blocks; the library has a few more threads. Public
 * methods may be called on any thread; only {@link #start} and {@link #close} block.
 */
public final class FleetMember implements AutoCloseable {
    /** Maximum length of the body of a call, in characters; the length of a response body is not checked. */
    public static final int MAX_BODY_LENGTH = 64 * 1024;

    static final String LOGGER_NAME = "sandstack.fleet";

    private static final Logger LOG = Logger.getLogger(LOGGER_NAME);
    /**
     * Loggers of the libraries, which are turned off: this package logs faults of peers itself, at a limited rate. The
     * references prevent the garbage collection of the loggers, which would reset their levels.
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
        FleetWarningLog warnings = new FleetWarningLog(LOG);
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
     * Joins the fleet. Blocks for a few seconds at most and does not wait for other members: if none responds, the view
     * contains only this member until one does.
     *
     * @throws InvalidConfigurationException if it cannot listen at its address or does not start in time, or another
     *     running member owns its name or has the prior claim to it; this member is then closed
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
                    + " is owned by a running member; stop that member, or configure another name for this one");
        } catch (TimeoutException e) {
            // no conflict was detected
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Joins the fleet as soon as the address is free, on a separate thread. During an upgrade two processes of a relay
     * run at the same time; the previous one stays the member until it has released the address. Until then the view
     * contains only this member.
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
            // the relay already serves clients and continues to do so outside the fleet
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

    /** The latest view of the membership, with the quorum state that applies now. */
    public Membership.View view() {
        return viewHolder.view().asOf(FleetExecutor.nowMicros());
    }

    /**
     * Decommissions a lost relay, see {@link Membership#decommission}. Completes on the fleet's thread with the reason
     * for a refusal, or empty on success.
     */
    public CompletableFuture<Optional<String>> decommission(String name) {
        CompletableFuture<Optional<String>> refusal = new CompletableFuture<>();
        executor.execute(() -> {
            refusal.complete(membership.decommission(name, FleetExecutor.nowMicros()));
            viewHolder.update();
        });
        return refusal;
    }

    /**
     * Changes a value that this member publishes to all others; null removes it. Takes effect later, on the fleet's
     * thread; a change that {@link Membership#publish} rejects is only logged.
     */
    public void publish(String key, String value) {
        executor.execute(() -> membership.publish(key, value, FleetExecutor.nowMicros()));
    }

    /** Registers the handler of calls of this kind; replaces any previous one. */
    public void registerHandler(String kind, CallHandler handler) {
        callServer.register(kind, handler);
    }

    /**
     * Calls one member, without a retry. Completes on the fleet's thread with the body of the response, or fails,
     * possibly at once, with a {@link CallException}: there is no response in time, too many calls are in flight, the
     * id is not that of a member, or the member rejects the call. A failed call may still have been executed.
     *
     * @param id incarnation id of the member
     * @param kind selects the handler on that member
     * @param body at most {@link #MAX_BODY_LENGTH} characters; the call fails with an {@link IllegalArgumentException}
     *     otherwise
     */
    public CompletableFuture<String> call(String id, String kind, String body, Duration timeout) {
        return callClient.call(id, kind, body, timeout);
    }

    /** Announces to the other members that this one leaves, and shuts it down. Blocks for a few seconds at most. */
    @Override
    public void close() {
        clusterClient.shutdown();
        executor.shutdownNow();
    }
}
