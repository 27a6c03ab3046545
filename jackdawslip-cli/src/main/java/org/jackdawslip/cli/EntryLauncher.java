package org.jackdawslip.cli;

import org.jackdawslip.internal.settings.EntrySettings;

/** Runs an entry instance for the {@code run} command. Tests replace the implementation. */
@FunctionalInterface
public interface EntryLauncher {

    /**
     * Starts an instance and blocks until its planned stop is complete.
     *
     * @throws org.jackdawslip.JackdawslipException if the instance cannot start, with
     *     {@link org.jackdawslip.ErrorCode#ADDRESS_IN_USE} if an address cannot be bound
     */
    void run(EntrySettings settings);
}
