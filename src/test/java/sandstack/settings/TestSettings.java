package sandstack.settings;

import java.util.List;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.Settings;

/** Settings that tests of a whole relay share. */
public final class TestSettings {
    private TestSettings() {}

    /** One relay in one zone, two classes alike, groups that share work, a list that is asked for. */
    public static Settings oneRelayWithGroups() {
        RequestClass requestClass = new RequestClass(320_000, 2_000_000, 1, Repeat.SAFE, Scope.ALL, 0, 100_000);
        return SettingsBuilder.of(List.of(requestClass, requestClass))
                .sharedGroups(true)
                .listOnRequest(true)
                .askWithin(10_000_000)
                .connectTimeout(100_000)
                .maxRetryAfter(1_500_000)
                .crossZonePrice(0.1)
                .movePrice(0.01)
                .drainGrace(300_000)
                .coldFrom(0.13)
                .warmAfter(23_000_000)
                .tipMultiple(3)
                .tipAfter(1_500_000)
                .build();
    }
}
