package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.Random;

/**
 * The resources that the caller provides to a control node.
 *
 * @param executor runs the node's tasks one at a time, as MicroRaft requires
 * @param store the state that this machine persisted, or a new store
 * @param clock for timeouts only; committed state never depends on it
 * @param random for election timeouts and the jitter of timers
 */
public record ControlNodeEnvironment(
        RaftNodeExecutor executor, Transport transport, EncodedRaftStore store, Clock clock, Random random) {}
