package org.jackdawslip.internal.hedging;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;

/**
 * The operators' limits on hedged attempts, as shares of the requests. Immutable and thread-safe.
 *
 * <pre>{@code
 * HedgeSettings settings = HedgeSettings.parse(List.of("0.02", "creator-hub=0.1"));
 * }</pre>
 *
 * @param defaultShare the share for services that {@code shares} does not contain; 0 switches hedging off
 * @param shares the shares of single services
 */
public record HedgeSettings(double defaultShare, Map<ServiceName, Double> shares) {

    /**
     * The share of a gateway without a setting. With 0.05, in the simulated long tail, two of five due hedges exceeded
     * the limit and the 99.9th percentile was above that of the previous rule; with 0.1 few did.
     */
    public static final double DEFAULT_SHARE = 0.1;

    /** The settings of a gateway that sets nothing. */
    public static final HedgeSettings DEFAULT = new HedgeSettings(DEFAULT_SHARE, Map.of());

    /**
     * Checks the shares.
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if a share is not from 0 to 1
     */
    public HedgeSettings {
        checkShare(defaultShare, "the default");
        shares.forEach((service, share) -> checkShare(share, "service " + service));
        shares = Map.copyOf(shares);
    }

    /** Returns the share of a service. */
    public double share(ServiceName service) {
        return shares.getOrDefault(service, defaultShare);
    }

    /**
     * Parses limits that each are a share ({@code 0.05}, for all services) or a share of one service
     * ({@code name=0.02}).
     *
     * @throws JackdawslipException with {@link ErrorCode#INVALID_SETTINGS} if a limit is invalid or given twice
     */
    public static HedgeSettings parse(List<String> limits) {
        Optional<Double> defaultShare = Optional.empty();
        Map<ServiceName, Double> shares = new HashMap<>();
        for (String limit : limits) {
            int separator = limit.indexOf('=');
            double share = parseShare(limit.substring(separator + 1), limit);
            boolean repeated;
            if (separator < 0) {
                repeated = defaultShare.isPresent();
                defaultShare = Optional.of(share);
            } else {
                repeated = shares.put(parseService(limit.substring(0, separator), limit), share) != null;
            }
            if (repeated) {
                throw invalid("\"" + limit + "\" sets a limit that an earlier one sets");
            }
        }
        return new HedgeSettings(defaultShare.orElse(DEFAULT_SHARE), shares);
    }

    private static double parseShare(String text, String limit) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalid("\"" + limit + "\" is neither SHARE nor SERVICE=SHARE with a number from 0 to 1");
        }
    }

    private static ServiceName parseService(String text, String limit) {
        try {
            return new ServiceName(text);
        } catch (JackdawslipException e) {
            throw invalid("\"" + limit + "\" does not begin with the name of a service: " + e.getMessage());
        }
    }

    private static void checkShare(double share, String what) {
        if (!(share >= 0 && share <= 1)) {
            throw invalid(share + " for " + what + " is not a number from 0 to 1");
        }
    }

    private static JackdawslipException invalid(String problem) {
        return new JackdawslipException(ErrorCode.INVALID_SETTINGS, "hedge limit: " + problem);
    }
}
