package sandstack.fleet.link;

import sandstack.fleet.Membership;

/** The latest view of the membership. Updated on the fleet's thread, read on any. */
final class MembershipViewHolder {
    private static final long UPDATE_INTERVAL_MICROS = 200_000;

    private final Membership membership;
    private final MembershipEventLog eventLog;
    private volatile Membership.View view;
    private long updatedAtMicros;

    MembershipViewHolder(Membership membership, MembershipEventLog eventLog) {
        this.membership = membership;
        this.eventLog = eventLog;
        this.view = membership.view(FleetExecutor.nowMicros());
    }

    /** The view at the last update. */
    Membership.View view() {
        return view;
    }

    void update() {
        updatedAtMicros = FleetExecutor.nowMicros();
        Membership.View before = view;
        view = membership.view(updatedAtMicros);
        eventLog.viewChanged(before, view);
    }

    void updateIfDue() {
        if (FleetExecutor.nowMicros() - updatedAtMicros >= UPDATE_INTERVAL_MICROS) {
            update();
        }
    }
}
