package org.jackdawslip.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.hedging.HedgeSettings;

/**
 * The settings on the command line of a gateway process, which the settings file of the platform has no fields for.
 * Immutable and thread-safe.
 *
 * <pre>{@code
 * java -jar jackdawslip-gateway.jar --hedge-limit 0.02 --hedge-limit creator-hub=0.1
 * }</pre>
 *
 * @param hedging the operators' limits on hedged attempts
 */
public record GatewayArguments(HedgeSettings hedging) {

    private static final String HEDGE_LIMIT = "--hedge-limit";

    /**
     * Parses the arguments of the process.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if an argument is unknown or invalid
     */
    public static GatewayArguments parse(String... arguments) {
        List<String> hedgeLimits = new ArrayList<>();
        for (int i = 0; i < arguments.length; i += 2) {
            if (!arguments[i].equals(HEDGE_LIMIT)) {
                throw invalid("unknown argument \"" + arguments[i] + "\"; allowed: " + HEDGE_LIMIT + " LIMIT");
            }
            if (i + 1 == arguments.length) {
                throw invalid(HEDGE_LIMIT + " needs a value: SHARE or SERVICE=SHARE");
            }
            hedgeLimits.add(arguments[i + 1]);
        }
        return new GatewayArguments(HedgeSettings.parse(hedgeLimits));
    }

    private static JackdawslipException invalid(String problem) {
        return new JackdawslipException(ErrorCode.INVALID_SETTINGS, "command line: " + problem);
    }
}
