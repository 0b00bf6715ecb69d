package sandstack.fleet;

import java.util.List;

/**
 * One life of a relay: from its start until it ends. A restart is another life of the same name.
 *
 * @param id differs for each start, on whatever disk; never used twice
 * @param name the relay's, which its lives share
 * @param machine what it shares with whatever fails with it
 * @param address where members reach it
 */
public record Incarnation(String id, String name, String zone, String machine, String address) {
    /** Longer words are not told and not taken. */
    public static final int MAX_LENGTH = 200;

    /** An {@link IllegalArgumentException} where a value is longer than {@link #MAX_LENGTH}. */
    public Incarnation {
        for (String value : List.of(id, name, zone, machine, address)) {
            if (value.length() > MAX_LENGTH) {
                throw new IllegalArgumentException(
                        "longer than " + MAX_LENGTH + " characters: " + value.substring(0, 20) + "...");
            }
        }
    }
}
