package sandstack.front.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import sandstack.core.ClientRequest;
import sandstack.core.EffectiveSettings;
import sandstack.core.TenantRegistry;

/**
 * The line with which a client opens its connection:
 * {@code OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59}.
 */
final class FirstLine {
    private static final Pattern WORD = Pattern.compile("[!-~]{1,128}");
    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final String id;
    private final String key;
    private final Map<String, String> values;

    private FirstLine(String id, String key, Map<String, String> values) {
        this.id = id;
        this.key = key;
        this.values = values;
    }

    /** Reads a line without its end; null where it is not of this form. */
    static FirstLine read(String line) {
        String[] words = line.split(" ", -1);
        if (words.length != 4
                || !words[0].equals("OPEN")
                || !WORD.matcher(words[1]).matches()
                || !WORD.matcher(words[2]).matches()) {
            return null;
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : words[3].split(",", -1)) {
            int sign = pair.indexOf('=');
            if (sign < 1
                    || !WORD.matcher(pair).matches()
                    || values.put(pair.substring(0, sign), pair.substring(sign + 1)) != null) {
                return null;
            }
        }
        return new FirstLine(words[1], words[2], values);
    }

    /** The command that the line asks for; null where a value makes no sense or the class is unknown. */
    ClientRequest command(EffectiveSettings terms, TenantRegistry tenants) {
        int requestClass = terms.indexOf(values.get("c"));
        String waits = values.get("d");
        if (requestClass < 0 || waits == null || !MILLIS.matcher(waits).matches()) {
            return null;
        }
        long patience = (long) (Double.parseDouble(waits) * 1000);
        String hint = values.getOrDefault("h", "0");
        if (patience <= 0 || !MILLIS.matcher(hint).matches()) {
            return null;
        }
        int tenant = values.containsKey("t") ? tenants.indexOf(values.get("t")) : 0;
        return new ClientRequest(
                key,
                requestClass,
                tenant,
                values.get("g"),
                patience,
                Double.parseDouble(hint),
                "1".equals(values.get("again")),
                values.get("at"));
    }

    /** The id, new with every connection. */
    String id() {
        return id;
    }

    /** The line as it goes on to a feed server: unchanged, but with the time that the relay will wait. */
    String toServer(long patienceMillis) {
        StringBuilder line = new StringBuilder("OPEN ").append(id).append(' ').append(key);
        char before = ' ';
        for (Map.Entry<String, String> value : values.entrySet()) {
            boolean waits = value.getKey().equals("d");
            line.append(before)
                    .append(value.getKey())
                    .append('=')
                    .append(waits ? Long.toString(patienceMillis) : value.getValue());
            before = ',';
        }
        return line.append("\r\n").toString();
    }
}
