package org.jackdawslip.internal.ownership;

/**
 * The safety rules that a member follows. Tests disable one rule to verify that their checker detects the
 * violation; production code uses {@link #ALL} only.
 */
enum SafetyRules {
    /** Follows every rule. */
    ALL,
    /** A table takes effect although silent members may still hold permits for an older one. */
    NO_WAIT_FOR_SILENT_MEMBERS {
        @Override
        boolean waitsForSilentMembers() {
            return false;
        }
    },
    /** The successor takes over without a write to the store. */
    TAKEOVER_WITHOUT_STORE {
        @Override
        boolean takesOverThroughStore() {
            return false;
        }
    },
    /** The successor takes over without the consent of the witness. */
    TAKEOVER_WITHOUT_CONSENT {
        @Override
        boolean waitsForConsent() {
            return false;
        }
    },
    /**
     * The validity of a permit starts with the receipt of the reply instead of the sending of the heartbeat.
     */
    PERMIT_FROM_RECEIPT {
        @Override
        boolean countsPermitsFromSending() {
            return false;
        }
    };

    boolean waitsForSilentMembers() {
        return true;
    }

    boolean takesOverThroughStore() {
        return true;
    }

    boolean waitsForConsent() {
        return true;
    }

    boolean countsPermitsFromSending() {
        return true;
    }
}
