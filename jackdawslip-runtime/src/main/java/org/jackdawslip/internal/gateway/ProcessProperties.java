package org.jackdawslip.internal.gateway;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;

/**
 * Reads settings of the process from system properties, for what the settings of the platform do not contain. Stateless
 * and thread-safe.
 */
final class ProcessProperties {

    private ProcessProperties() {}

    /**
     * Returns a whole number from 1.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if the property has another value; the
     *     message names it
     */
    static long positiveLong(String name, long defaultValue) {
        String text = System.getProperty(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text.trim());
            if (value > 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Handled below, like a number that is too small.
        }
        throw new JackdawslipException(
                ErrorCode.INVALID_SETTINGS, "property " + name + " must be a whole number from 1, but is " + text);
    }
}
