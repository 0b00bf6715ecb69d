package sandstack.fleet;

import java.util.List;

/**
 * One run of a relay process, from its start to its end. A restart creates another incarnation with the same name.
 *
 * @param id random id, unique for each start and independent of stored data
 * @param name name of the relay
 * @param zone name of the zone in which it runs
 * @param machine name of the failure domain, such as a machine, that it shares with other processes
 * @param address {@code HOST:PORT} at which other members connect to it
 */
public record Incarnation(String id, String name, String zone, String machine, String address) {
    /** Maximum length of each component, in characters. */
    public static final int MAX_LENGTH = 200;

    private static final int QUOTED_LENGTH = 20;

    /**
     * Checks the length of each component.
     *
     * @throws IllegalArgumentException if a component is longer than {@link #MAX_LENGTH}
     */
    public Incarnation {
        for (String value : List.of(id, name, zone, machine, address)) {
            if (value.length() > MAX_LENGTH) {
                throw new IllegalArgumentException("value is longer than " + MAX_LENGTH + " characters: "
                        + value.substring(0, QUOTED_LENGTH) + "...");
            }
        }
    }
}
