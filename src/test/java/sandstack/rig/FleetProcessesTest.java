package sandstack.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Relays as real processes that know of each other, with faults between them. */
@Timeout(120)
class FleetProcessesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    private FleetRig rig;

    private void fleet(int size) throws IOException {
        rig = new FleetRig(PROGRAM, size, 1);
        rig.startAll();
        eventually("all see all alive", 30, () -> allSee("ALIVE", size));
    }

    @AfterEach
    void end() {
        rig.close();
    }

    private void eventually(String what, double seconds, BooleanSupplier holds) {
        assertThat(FleetRig.until(holds, seconds)).as(what + "\n" + rig.logs()).isNotNegative();
    }

    private boolean allSee(String standing, int size) {
        for (int i = 0; i < size; i++) {
            var seen = rig.standings(i);
            if (seen == null || seen.size() != size || !seen.values().stream().allMatch(standing::equals)) {
                return false;
            }
        }
        return true;
    }

    private boolean sees(int i, int other, String standing) {
        var seen = rig.standings(i);
        return seen != null && standing.equals(seen.get(FleetRig.name(other)));
    }

    @Test
    void fiveSeeEachOtherAndACutLinkIsCalledThat() throws IOException {
        fleet(5);
        rig.cut(1, 3);
        eventually("all call both partly reached", 15, () -> {
            for (int i = 0; i < 5; i++) {
                if (!sees(i, 1, "PARTLY") || !sees(i, 3, "PARTLY")) {
                    return false;
                }
            }
            return true;
        });
        assertThat(rig.line(0, "m3").path("against").toString()).isEqualTo("[\"m1\"]");
        assertThat(rig.line(0, "m2").path("standing").asText()).isEqualTo("ALIVE");
        rig.heal(1, 3);
        eventually("all alive again", 15, () -> allSee("ALIVE", 5));
        assertThat(rig.logs()).doesNotContain("is LOST");
    }
}
