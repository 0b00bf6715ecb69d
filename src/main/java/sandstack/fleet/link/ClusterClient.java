package sandstack.fleet.link;

import io.scalecube.cluster.Cluster;
import io.scalecube.cluster.ClusterConfig;
import io.scalecube.cluster.ClusterImpl;
import io.scalecube.cluster.ClusterMessageHandler;
import io.scalecube.cluster.transport.api.Message;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Logger;
import reactor.core.scheduler.Scheduler;
import sandstack.config.FleetFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.Incarnation;

/**
 * Configures, starts and shuts down the SWIM library and sends messages through it. Messages can be sent as soon as the
 * library requests its message handler, which is before {@link #start} returns. The library runs on threads of its own;
 * responses complete on the scheduler.
 */
final class ClusterClient {
    private static final Logger LOG = Logger.getLogger(FleetMember.LOGGER_NAME);

    /** Large enough for the library's membership table of a thousand members. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    private static final int MAX_INBOUND_CONNECTIONS = 2_048;
    private static final long START_TIMEOUT_SECONDS = 5;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;
    /**
     * Short, so that a request to a member behind a partition does not delay the next sync, which requests the metadata
     * again.
     */
    private static final int METADATA_TIMEOUT_MILLIS = 500;

    private static final int PING_INTERVAL_MILLIS = 500;
    private static final int PING_TIMEOUT_MILLIS = 300;
    private static final int CONNECT_TIMEOUT_MILLIS = PING_TIMEOUT_MILLIS;
    private static final int INDIRECT_PINGS = 3;
    /** A suspicion lasts this many ping intervals times the logarithm of the number of members. */
    private static final int SUSPICION_MULTIPLIER = 3;

    private static final int SYNC_INTERVAL_MILLIS = 2_000;
    private static final int SYNC_TIMEOUT_MILLIS = PING_INTERVAL_MILLIS;

    private final FleetFile fleetFile;
    private final Incarnation self;
    private final Scheduler scheduler;
    private final FilteredMessageCodec codec = new FilteredMessageCodec();
    /** Null until the library starts. */
    private volatile Cluster cluster;

    ClusterClient(FleetFile fleetFile, Incarnation self, Scheduler scheduler) {
        this.fleetFile = fleetFile;
        this.self = self;
        this.scheduler = scheduler;
    }

    /**
     * Starts the library and waits until it listens.
     *
     * @throws InvalidConfigurationException if it cannot listen at the configured address or does not start in time
     */
    void start(ClusterMessageHandler handler) throws InvalidConfigurationException {
        ClusterConfig config = config();
        try {
            new ClusterImpl(config)
                    .transportFactory(config.transportConfig()::transportFactory)
                    .handler(starting -> {
                        // other members may send messages before the start completes
                        cluster = starting;
                        return handler;
                    })
                    .start()
                    .toFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new InvalidConfigurationException(FleetFile.FILE + ": listen: cannot listen at " + fleetFile.listen()
                    + ": " + e.getCause().getMessage());
        } catch (TimeoutException e) {
            throw new InvalidConfigurationException(FleetFile.FILE + ": listen: start at " + fleetFile.listen()
                    + " timed out after " + START_TIMEOUT_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ClusterConfig config() {
        MemberMetadata metadata =
                new MemberMetadata(FleetMessages.PROTOCOL_VERSION, self.name(), self.zone(), self.machine());
        return ClusterConfig.defaultLanConfig()
                .memberId(self.id())
                .memberAlias(self.name())
                .externalHost(fleetFile.listen().host())
                .externalPort(fleetFile.listen().port())
                .metadata(MessageJson.write(metadata))
                .metadataCodec(MemberMetadata.CODEC)
                .metadataTimeout(METADATA_TIMEOUT_MILLIS)
                .transport(transport -> transport
                        .port(fleetFile.listen().port())
                        .connectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .messageCodec(codec)
                        .maxFrameLength(MAX_FRAME_BYTES)
                        .addressMapper(address -> fleetFile.via().getOrDefault(address, address))
                        .transportFactory(new SingleAddressTransportFactory(
                                fleetFile.listen().host(), codec, MAX_INBOUND_CONNECTIONS)))
                .failureDetector(detector -> detector.pingInterval(PING_INTERVAL_MILLIS)
                        .pingTimeout(PING_TIMEOUT_MILLIS)
                        .pingReqMembers(INDIRECT_PINGS))
                .membership(membership -> membership
                        .namespace(fleetFile.installation())
                        .seedMembers(fleetFile.members())
                        .syncInterval(SYNC_INTERVAL_MILLIS)
                        .syncTimeout(SYNC_TIMEOUT_MILLIS)
                        .suspicionMult(SUSPICION_MULTIPLIER));
    }

    /**
     * Sends a request. Completes on the scheduler with the body of the response, or fails, after the timeout at the
     * latest.
     */
    CompletableFuture<String> request(Incarnation target, String qualifier, String body, Duration timeout) {
        Message message = Message.builder()
                .qualifier(qualifier)
                .correlationId(UUID.randomUUID().toString())
                .data(body)
                .build();
        return cluster.transport()
                .requestResponse(target.address(), message)
                .timeout(timeout, scheduler)
                .publishOn(scheduler)
                .map(response -> String.valueOf(response.<Object>data()))
                .toFuture();
    }

    /** Responds to a request if its sender expects a response. */
    void respond(Message request, String body) {
        if (request.sender() == null || request.correlationId() == null) {
            return;
        }
        Message response = Message.builder()
                .qualifier(Qualifiers.RESPONSE)
                .correlationId(request.correlationId())
                .data(body)
                .build();
        cluster.transport().send(request.sender(), response).subscribe(sent -> {}, failure -> {});
    }

    /** Disseminates a message to all members; it may not reach every one of them. */
    void gossip(String qualifier, String body) {
        Message message = Message.builder().qualifier(qualifier).data(body).build();
        cluster.spreadGossip(message).subscribe(sent -> {}, failure -> {});
    }

    /**
     * Announces that this member leaves and shuts the library down. Waits for {@link #SHUTDOWN_TIMEOUT_SECONDS} at
     * most.
     */
    void shutdown() {
        if (cluster == null) {
            return;
        }
        cluster.shutdown();
        try {
            cluster.onShutdown().toFuture().get(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.fine("cluster shutdown failed or timed out timeout_s=" + SHUTDOWN_TIMEOUT_SECONDS);
        }
    }
}
