package sandstack.front.platform;

import java.util.LinkedHashMap;
import java.util.Map;
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

    private final String id;
    private final String clientKey;
    private final Map<String, String> parameters;

    private OpenRequest(String id, String clientKey, Map<String, String> parameters) {
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
                || !TOKEN.matcher(fields[2]).matches()) {
            return null;
        }
        Map<String, String> parameters = new LinkedHashMap<>();
        for (String pair : fields[3].split(",", -1)) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign < 1
                    || !TOKEN.matcher(pair).matches()
                    || parameters.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1)) != null) {
                return null;
            }
        }
        return new OpenRequest(fields[1], fields[2], parameters);
    }

    /** Converts to the request of {@code core}; returns null if a value is invalid or the request class is unknown. */
    ClientRequest toClientRequest(EffectiveSettings effectiveSettings, TenantRegistry tenants) {
        int requestClass = effectiveSettings.indexOf(parameters.get(PlatformProtocol.CLASS_PARAMETER));
        String deadline = parameters.get(PlatformProtocol.DEADLINE_PARAMETER);
        if (requestClass < 0 || deadline == null || !DECIMAL.matcher(deadline).matches()) {
            return null;
        }
        long deadlineMicros = (long) (Double.parseDouble(deadline) * 1000);
        String expectedLoad = parameters.getOrDefault(PlatformProtocol.EXPECTED_LOAD_PARAMETER, "0");
        if (deadlineMicros <= 0 || !DECIMAL.matcher(expectedLoad).matches()) {
            return null;
        }
        int tenant = parameters.containsKey(PlatformProtocol.TENANT_PARAMETER)
                ? tenants.indexOf(parameters.get(PlatformProtocol.TENANT_PARAMETER))
                : 0;
        return new ClientRequest(
                clientKey,
                requestClass,
                tenant,
                parameters.get(PlatformProtocol.GROUP_PARAMETER),
                deadlineMicros,
                Double.parseDouble(expectedLoad),
                "1".equals(parameters.get(PlatformProtocol.RECONNECT_PARAMETER)),
                parameters.get(PlatformProtocol.ADOPTED_FROM_PARAMETER));
    }

    /** The request id; two open requests of the relay cannot have the same id. */
    String id() {
        return id;
    }

    /**
     * The request line for a feed server: the client's line with the deadline replaced by the attempt's remaining time.
     */
    String toUpstreamLine(long remainingMillis) {
        StringBuilder line = new StringBuilder(PlatformProtocol.OPEN)
                .append(' ')
                .append(id)
                .append(' ')
                .append(clientKey);
        char separator = ' ';
        for (Map.Entry<String, String> parameter : parameters.entrySet()) {
            boolean isDeadline = parameter.getKey().equals(PlatformProtocol.DEADLINE_PARAMETER);
            line.append(separator)
                    .append(parameter.getKey())
                    .append('=')
                    .append(isDeadline ? Long.toString(remainingMillis) : parameter.getValue());
            separator = ',';
        }
        return line.append(PlatformProtocol.LINE_END).toString();
    }
}
