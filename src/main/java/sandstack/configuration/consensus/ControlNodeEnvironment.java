package sandstack.configuration.consensus;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.Random;

/**
 * The dependencies of a control node.
 *
 * @param executor runs the node's tasks one at a time
 * @param store what this machine persisted before, or a new one
 * @param clock for timeouts only; what is committed never depends on it
 * @param random for the election timeouts and the jitter of timers
 */
public record ControlNodeEnvironment(
        RaftNodeExecutor executor, Transport transport, EncodedRaftStore store, Clock clock, Random random) {}
