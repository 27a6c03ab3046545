package org.jackdawslip.internal.gateway;

import java.util.Objects;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.hedging.HedgeSettings;
import org.jackdawslip.internal.membership.InstanceOrder;

/**
 * The settings of one gateway instance. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param domain the failure domain of the instance
 * @param callerAddress where callers connect, as host and port
 * @param readinessAddress where the load balancer checks readiness, as host and port
 * @param peerAddress where peers send datagrams and, over TCP, read calls for the store, as host and port
 * @param metricsAddress where metrics are served, as host and port
 * @param storeAddress the platform's store, as host and port
 * @param platformLimits the time limits and rates that the platform guarantees and requires
 * @param instanceLimits the resources of the host of this instance
 * @param accountTerms the time limits and tolerances for client accounts
 * @param hedging the operators' limits on hedged attempts
 */
public record GatewaySettings(
        InstanceId instance,
        FailureDomainId domain,
        String callerAddress,
        String readinessAddress,
        String peerAddress,
        String metricsAddress,
        String storeAddress,
        PlatformLimits platformLimits,
        InstanceLimits instanceLimits,
        AccountTerms accountTerms,
        HedgeSettings hedging) {

    /**
     * Time limits and rates of the platform. Immutable and thread-safe.
     *
     * @param heartbeatIntervalMillis interval at which backend servers renew their listing
     * @param maxStopMillis time from the signal to stop until the process is killed
     * @param retryRatio additional attempts for each request, as a global limit over all instances
     * @param retryAllowance additional attempts in each window without any request, as a global limit over
     *     all instances
     * @param retryWindowMillis length of the window
     * @param maxGrantTermMillis longest term of a grant of keys
     * @param maxChangeMillis time from the confirmation of a change by the store until the change must be in
     *     force
     */
    public record PlatformLimits(
            long heartbeatIntervalMillis,
            long maxStopMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis,
            long maxGrantTermMillis,
            long maxChangeMillis) {}

    /**
     * Resources of the host of an instance. Immutable and thread-safe.
     *
     * @param memoryBytes memory that the process may use, in bytes
     * @param fileDescriptors number of file descriptors that the process may open
     * @param linkMegabitsPerSecond bandwidth of the network link, in megabits per second
     * @param processorShare processor time that the process may use, in cores
     */
    public record InstanceLimits(
            long memoryBytes, int fileDescriptors, double linkMegabitsPerSecond, double processorShare) {

        /** The limits of a host whose settings do not state them. */
        public static final InstanceLimits DEFAULT = new InstanceLimits(256L * 1024 * 1024, 1_024, 100, 1);
    }

    /**
     * Time limits and tolerances for client accounts. Immutable and thread-safe.
     *
     * @param refuseWithoutRecentConfiguration whether requests with a credential are refused while the configuration
     *     may be older than {@code maxRevocationMillis}
     * @param maxRevocationMillis time from the confirmation of a configuration that revokes a credential until no
     *     request with that credential may start to run
     * @param quotaWindowMillis length of the window over which quotas are checked
     * @param quotaExcessRatio tolerated excess over a quota in a window, as a share of it
     * @param quotaExcessRequests tolerated excess over a quota in a window, in requests
     */
    public record AccountTerms(
            boolean refuseWithoutRecentConfiguration,
            long maxRevocationMillis,
            long quotaWindowMillis,
            double quotaExcessRatio,
            double quotaExcessRequests) {

        /** The terms of a deployment whose settings do not state them. */
        public static final AccountTerms DEFAULT = new AccountTerms(true, 5_000, 5_000, 0.1, 20);
    }

    /** Returns this instance as a candidate for roles. */
    InstanceOrder.Candidate candidate() {
        return new InstanceOrder.Candidate(instance, instanceLimits.linkMegabitsPerSecond());
    }

    /** Returns a builder of the settings of the instance. */
    public static Builder builder(InstanceId instance, FailureDomainId domain) {
        return new Builder(instance, domain);
    }

    /** Builds settings; all addresses and the platform limits are required. Not thread-safe. */
    public static final class Builder {
        private final InstanceId instance;
        private final FailureDomainId domain;
        private String callerAddress;
        private String readinessAddress;
        private String peerAddress;
        private String metricsAddress;
        private String storeAddress;
        private PlatformLimits platformLimits;
        private InstanceLimits instanceLimits = InstanceLimits.DEFAULT;
        private AccountTerms accountTerms = AccountTerms.DEFAULT;
        private HedgeSettings hedging = HedgeSettings.DEFAULT;

        private Builder(InstanceId instance, FailureDomainId domain) {
            this.instance = instance;
            this.domain = domain;
        }

        /** Sets where callers connect and where the load balancer checks readiness, each as host and port. */
        public Builder callerAddresses(String caller, String readiness) {
            callerAddress = caller;
            readinessAddress = readiness;
            return this;
        }

        /** Sets where peers connect and where metrics are served, each as host and port. */
        public Builder internalAddresses(String peer, String metrics) {
            peerAddress = peer;
            metricsAddress = metrics;
            return this;
        }

        /** Sets the address of the platform's store, as host and port. */
        public Builder storeAddress(String store) {
            storeAddress = store;
            return this;
        }

        /** Sets the time limits and rates of the platform. */
        public Builder platformLimits(PlatformLimits limits) {
            platformLimits = limits;
            return this;
        }

        /** Sets the resources of the host; the default is {@link InstanceLimits#DEFAULT}. */
        public Builder instanceLimits(InstanceLimits limits) {
            instanceLimits = limits;
            return this;
        }

        /** Sets the terms for client accounts; the default is {@link AccountTerms#DEFAULT}. */
        public Builder accountTerms(AccountTerms terms) {
            accountTerms = terms;
            return this;
        }

        /** Sets the limits on hedged attempts; the default is {@link HedgeSettings#DEFAULT}. */
        public Builder hedging(HedgeSettings settings) {
            hedging = settings;
            return this;
        }

        /** Returns the settings. */
        public GatewaySettings build() {
            return new GatewaySettings(
                    instance,
                    domain,
                    Objects.requireNonNull(callerAddress, "callerAddress"),
                    Objects.requireNonNull(readinessAddress, "readinessAddress"),
                    Objects.requireNonNull(peerAddress, "peerAddress"),
                    Objects.requireNonNull(metricsAddress, "metricsAddress"),
                    Objects.requireNonNull(storeAddress, "storeAddress"),
                    Objects.requireNonNull(platformLimits, "platformLimits"),
                    instanceLimits,
                    accountTerms,
                    hedging);
        }
    }
}
