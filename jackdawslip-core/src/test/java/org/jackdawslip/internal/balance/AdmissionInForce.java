package org.jackdawslip.internal.balance;

/** The rule of {@link Admission} for the comparison with others. Not thread-safe. */
final class AdmissionInForce implements HeavyLoadModel.AdmissionRule {

    private final Admission admission = new Admission();

    @Override
    public double excessMillis(
            RequestClass requestClass, BackendTracker server, double usualMillis, long remainingMillis, long now) {
        long limit = admission.responseTimeLimitMillis(requestClass.toString(), requestClass, remainingMillis, now);
        return admission.decide(requestClass, server, usualMillis, limit, now).excessMillis();
    }
}
