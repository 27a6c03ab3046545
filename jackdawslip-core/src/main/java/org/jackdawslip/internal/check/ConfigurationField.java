package org.jackdawslip.internal.check;

/** The fields of a routing configuration, independent of their names in a format. */
public enum ConfigurationField {
    VERSION,
    ROUTES,
    NAME,
    HOST,
    PREFIX,
    KIND,
    TIMEOUT_MILLIS,
    TARGET_MILLIS,
    MAX_ATTEMPTS,
    SERVICE,
    SHARES,
    WEIGHT,
    SERVICES,
    WARMUP_SECONDS,
    WARMUP_RATE,
    LIMITS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    ACCOUNTS,
    CREDENTIALS,
    RATE,
    BURST
}
