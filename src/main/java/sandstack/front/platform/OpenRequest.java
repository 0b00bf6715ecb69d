package sandstack.front.platform;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import sandstack.core.ClientRequest;
import sandstack.core.EffectiveSettings;
import sandstack.core.TenantRegistry;

/**
 * A client's request, parsed from the first line of its connection: {@code OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655
 * c=chat,d=2000,g=5c0f6e1a2b3d4c59}.
 */
final class OpenRequest {
    private static final int FIELD_COUNT = 4;
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    /** Heap of the texts of a request beside their characters. */
    private static final long TEXTS_HEAP_BYTES = 200;

    private final String id;
    private final String clientKey;
    /** The parameters as the client has sent them; a request keeps no more than its text. */
    private final String parameters;

    private OpenRequest(String id, String clientKey, String parameters) {
        this.id = id;
        this.clientKey = clientKey;
        this.parameters = parameters;
    }

    /** Parses a line without its line end; returns null if it does not have the form of a request. */
    static OpenRequest parse(String line) {
        String[] fields = line.split(" ", -1);
        if (fields.length != FIELD_COUNT
                || !fields[0].equals(PlatformProtocol.OPEN)
                || !TOKEN.matcher(fields[1]).matches()
                || !TOKEN.matcher(fields[2]).matches()
                || !hasValidParameters(fields[3])) {
            return null;
        }
        return new OpenRequest(fields[1], fields[2], fields[3]);
    }

    private static boolean hasValidParameters(String text) {
        Set<String> names = new HashSet<>();
        for (String pair : text.split(",", -1)) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign < 1 || !TOKEN.matcher(pair).matches() || !names.add(pair.substring(0, equalsSign))) {
                return false;
            }
        }
        return true;
    }

    /** The value of a parameter; null if the request does not have it. */
    private String parameter(String name) {
        int start = valueStart(name);
        return start < 0 ? null : parameters.substring(start, valueEnd(start));
    }

    private String parameterOr(String name, String otherwise) {
        String value = parameter(name);
        return value == null ? otherwise : value;
    }

    /** The index at which the value of a parameter begins; -1 if the request does not have it. */
    private int valueStart(String name) {
        String assignment = name + "=";
        int start = 0;
        while (!parameters.startsWith(assignment, start)) {
            start = parameters.indexOf(',', start) + 1;
            if (start == 0) {
                return -1;
            }
        }
        return start + assignment.length();
    }

    private int valueEnd(int start) {
        int comma = parameters.indexOf(',', start);
        return comma < 0 ? parameters.length() : comma;
    }

    /** The heap that the request uses, in bytes. */
    long heapBytes() {
        return TEXTS_HEAP_BYTES + id.length() + clientKey.length() + parameters.length();
    }

    /** Converts to the request of {@code core}; returns null if a value is invalid or the request class is unknown. */
    ClientRequest toClientRequest(EffectiveSettings effectiveSettings, TenantRegistry tenants) {
        int requestClass = effectiveSettings.indexOf(parameter(PlatformProtocol.CLASS_PARAMETER));
        String deadline = parameter(PlatformProtocol.DEADLINE_PARAMETER);
        if (requestClass < 0 || deadline == null || !DECIMAL.matcher(deadline).matches()) {
            return null;
        }
        long deadlineMicros = (long) (Double.parseDouble(deadline) * 1000);
        String expectedLoad = parameterOr(PlatformProtocol.EXPECTED_LOAD_PARAMETER, "0");
        if (deadlineMicros <= 0 || !DECIMAL.matcher(expectedLoad).matches()) {
            return null;
        }
        String tenantName = parameter(PlatformProtocol.TENANT_PARAMETER);
        int tenant = tenantName == null ? 0 : tenants.indexOf(tenantName);
        return new ClientRequest(
                clientKey,
                requestClass,
                tenant,
                parameter(PlatformProtocol.GROUP_PARAMETER),
                deadlineMicros,
                Double.parseDouble(expectedLoad),
                "1".equals(parameter(PlatformProtocol.RECONNECT_PARAMETER)),
                parameter(PlatformProtocol.ADOPTED_FROM_PARAMETER));
    }

    /** The request id; two open requests of the relay cannot have the same id. */
    String id() {
        return id;
    }

    /**
     * The request line for a feed server: the client's line with the deadline replaced by the attempt's remaining time.
     */
    String toUpstreamLine(long remainingMillis) {
        int deadlineStart = valueStart(PlatformProtocol.DEADLINE_PARAMETER);
        String withRemainingTime = parameters.substring(0, deadlineStart)
                + remainingMillis
                + parameters.substring(valueEnd(deadlineStart));
        return String.join(" ", PlatformProtocol.OPEN, id, clientKey, withRemainingTime) + PlatformProtocol.LINE_END;
    }
}
