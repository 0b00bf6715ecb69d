package sandstack.measure;

import java.util.List;
import sandstack.measure.configuration.ConfigurationScale;
import sandstack.measure.scale.EndpointListScale;
import sandstack.measure.scale.LoadBalancerScale;
import sandstack.measure.scale.RelayDeliveryScale;
import sandstack.measure.scale.RelayHeapLimitScale;
import sandstack.measure.scale.RelayMemoryScale;
import sandstack.measure.scale.RelaySetupScale;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.hollow.HollowFleetScale;
import sandstack.measure.scale.hollow.MembershipCostScale;
import sandstack.measure.scale.hollow.RealFleetScale;
import sandstack.measure.scale.storm.RetryStormScale;

/** The measurements of {@code measure scale}, in the order in which they run. */
final class ScaleMeasurements {
    private ScaleMeasurements() {}

    /** New instances of all measurements; they start processes and threads only when they are run. */
    static List<ScaleMeasurement> all() {
        return List.of(
                new LoadBalancerScale(),
                new EndpointListScale(),
                new RelayMemoryScale(),
                new RelayHeapLimitScale(),
                new RelaySetupScale(),
                new RelayDeliveryScale(),
                new MembershipCostScale(),
                new HollowFleetScale(),
                new RealFleetScale(),
                new RetryStormScale(),
                new ConfigurationScale());
    }
}
