package org.jackdawslip;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.jackdawslip.internal.entry.EntryRuntime;
import org.jackdawslip.internal.settings.EntrySettings;

/**
 * One entry instance of the router: accepts requests of callers and forwards them to backend servers.
 *
 * <p>Thread-safe. A started instance serves requests until {@link #stop} or {@link #close}.
 *
 * <pre>{@code
 * try (EntryInstance instance = EntryInstance.builder().settings(json).start()) {
 *     instance.stop().join();
 * }
 * }</pre>
 */
public final class EntryInstance implements AutoCloseable {

    private final EntryRuntime runtime;

    private EntryInstance(EntryRuntime runtime) {
        this.runtime = runtime;
    }

    /** Returns a builder with empty settings and a stop limit of 10 s. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address where callers connect. */
    public InetSocketAddress callerAddress() {
        return runtime.callerAddress();
    }

    /** Returns the address where operators connect. */
    public InetSocketAddress adminAddress() {
        return runtime.adminAddress();
    }

    /**
     * Starts a planned stop: hands over roles and send rights, and completes the requests in flight.
     *
     * @return a future that completes when the stop is finished, or after the stop limit
     */
    public CompletableFuture<Void> stop() {
        return runtime.stop();
    }

    /**
     * Returns a future that completes when a planned stop has finished, also one that an operator started.
     */
    public CompletableFuture<Void> stopped() {
        return runtime.stopped();
    }

    /**
     * Ends the instance at once and aborts requests in flight; call {@link #stop} before to complete them.
     */
    @Override
    public void close() {
        runtime.close();
    }

    /** Configures an {@link EntryInstance}. Not thread-safe. */
    public static final class Builder {

        private byte[] settings = new byte[0];
        private Duration stopLimit = Duration.ofSeconds(10);

        private Builder() {}

        /** Sets the settings document in JSON. */
        public Builder settings(byte[] json) {
            settings = json.clone();
            return this;
        }

        /** Sets the maximum duration of a planned stop; 10 s by default. */
        public Builder stopLimit(Duration limit) {
            stopLimit = limit;
            return this;
        }

        /**
         * Checks the settings, binds the addresses and starts the instance.
         *
         * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if the settings are not valid,
         *     or with {@link ErrorCode#ADDRESS_IN_USE} if an address cannot be bound
         */
        public EntryInstance start() {
            return new EntryInstance(EntryRuntime.start(EntrySettings.read(settings), stopLimit));
        }
    }
}
