package sandstack.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.decisions.Tenant;

/** Each of the platform's settings is mapped to its component of {@link BalancerSettings}. */
class SettingsReaderTest {
    /** Every setting; the numbers differ, so that a test detects a value mapped to the wrong component. */
    private static final String ALL_SETTINGS =
            """
            {"classes": [
               {"goal_time_us": 11, "deadline_us": 12, "gain": 1.5, "idempotency": "safe", "group": "zone",
                "dedup_window_us": 13},
               {"goal_time_us": 21.9, "deadline_us": 22, "gain": 2.5, "idempotency": "keyed", "group": "cell",
                "dedup_window_us": 23},
               {"goal_time_us": 31, "deadline_us": 32, "gain": 3.5, "idempotency": "unsafe", "group": "all"}],
             "tenants": [{"portion": 0.25}, {"portion": 0.5}],
             "family_info": {"message_aim_us": [14, 24], "tenant_quota_connections": [41, 42], "mode": "pass",
               "groups": true},
             "me": 2, "siblings": 5, "locality": 1, "zones": ["a", "b", "c"],
             "over_share_worth": 0.125, "worth_by": "work", "membership_mode": "on_request", "weights": "rough",
             "caps": {"max_attempts": 6, "connect_timeout_us": 51, "retry_after": true, "max_retry_after_us": 52,
               "probes": true, "peers": true},
             "costs": {"probe": 0.61, "peer": 0.62, "cross_zone": 0.63, "moves": 0.64},
             "contract": {"ask_every_us": 71, "drain_grace_us": 72, "cold_from": 0.73, "warm_after_us": 74,
               "tip_multiple": 7.5, "tip_after_us": 76}}
            """;

    private static BalancerSettings read(String text) throws Exception {
        SettingsReader reader = new SettingsReader();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            in.nextToken();
            reader.read(in);
        }
        return reader.settings();
    }

    @Test
    void mapsEverySetting() throws Exception {
        assertThat(read(ALL_SETTINGS))
                .isEqualTo(new BalancerSettings(
                        2,
                        5,
                        1,
                        3,
                        List.of(
                                new RequestClass(11, 12, 1.5, Idempotency.IDEMPOTENT, DeduplicationScope.ZONE, 13, 14),
                                new RequestClass(21, 22, 2.5, Idempotency.WITH_KEY, DeduplicationScope.CELL, 23, 24),
                                new RequestClass(
                                        31, 32, 3.5, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, 0)),
                        List.of(new Tenant(41, 0.25), new Tenant(42, 0.5)),
                        0.125,
                        true,
                        true,
                        true,
                        true,
                        71,
                        6,
                        51,
                        true,
                        52,
                        true,
                        0.61,
                        true,
                        0.62,
                        0.63,
                        0.64,
                        72,
                        0.73,
                        74,
                        7.5,
                        76,
                        true));
    }

    @Test
    void defaultsOfOptionalSettings() throws Exception {
        String required =
                """
                {"classes": [{"goal_time_us": 11, "deadline_us": 12, "idempotency": "safe"}],
                 "me": 0, "siblings": 1, "locality": 0, "zones": ["a"], "caps": {"max_attempts": 1e12}}
                """;
        assertThat(read(required))
                .isEqualTo(new BalancerSettings(
                        0,
                        1,
                        0,
                        1,
                        List.of(new RequestClass(11, 12, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0)),
                        List.of(),
                        1,
                        false,
                        false,
                        false,
                        false,
                        0,
                        Integer.MAX_VALUE,
                        0,
                        false,
                        0,
                        false,
                        0,
                        false,
                        0,
                        0,
                        0,
                        0,
                        1,
                        0,
                        1,
                        0,
                        false));
    }

    @ParameterizedTest
    @CsvSource({"nominal, true", "rough, true", "none, false"})
    void weightsDecideWhetherRatingsAreSizes(String weights, boolean expected) throws Exception {
        assertThat(read(ALL_SETTINGS.replace("rough", weights)).ratingsAreSizes())
                .isEqualTo(expected);
    }
}
