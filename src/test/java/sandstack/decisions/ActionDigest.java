package sandstack.decisions;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import sandstack.capacity.RejectionReason;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerAction.WatchEndpointList;

/**
 * Running SHA-256 over the values of actions. Each action is written with a code and a layout defined here, so that the
 * digest does not depend on the names of types, components or constants. Also counts the codes. Not thread-safe.
 */
final class ActionDigest implements BalancerAction.Handler<RuntimeException> {
    private static final int SHORT_BYTES = 8;

    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();

    ActionDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing", e);
        }
    }

    /** Adds the number and the time of an event, whose actions follow. */
    void event(int number, long nowMicros) {
        code('E');
        number(number);
        number(nowMicros);
    }

    /** Adds whether a server is closed to new requests. */
    void closed(String server, boolean isClosed) {
        code('V');
        text(server);
        number(isClosed ? 1 : 0);
        count(isClosed ? "closed" : "not closed");
    }

    /** Counts an occurrence that is not part of the digest. */
    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    Map<String, Integer> counts() {
        return counts;
    }

    /** The first 16 hexadecimal digits of the digest of everything added so far. */
    String shortDigest() {
        return fullDigest().substring(0, 2 * SHORT_BYTES);
    }

    /** The digest of everything added so far. */
    String fullDigest() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 cannot be cloned", e);
        }
    }

    @Override
    public void startAttempt(StartAttempt action) {
        code('A');
        text(action.requestId());
        text(action.serverId());
        number(action.timeoutMicros());
    }

    @Override
    public void reject(Reject action) {
        code('R');
        text(action.requestId());
        number(action.retryAfterMicros());
        int reason = codeOf(action.reason());
        number(reason);
        count("reason " + reason);
    }

    @Override
    public void fail(Fail action) {
        code('F');
        text(action.requestId());
    }

    @Override
    public void migrate(Migrate action) {
        code('M');
        text(action.requestId());
    }

    @Override
    public void setTimer(SetTimer action) {
        code('T');
        number(action.delayMicros());
        number(action.token());
    }

    @Override
    public void watchEndpointList(WatchEndpointList action) {
        code('W');
    }

    private static int codeOf(RejectionReason reason) {
        return switch (reason) {
            case SHED -> 1;
            case FULL -> 2;
            case RESERVED -> 3;
            case RELAY_LIMIT -> 4;
            case GROUP_LIMIT -> 5;
            case SERVER_LIMIT -> 6;
            case ATTEMPTS -> 7;
            case NO_TIME -> 8;
        };
    }

    private void code(char code) {
        digest.update((byte) code);
        count("code " + code);
    }

    private void number(long value) {
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }

    private void text(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        number(bytes.length);
        digest.update(bytes);
    }
}
