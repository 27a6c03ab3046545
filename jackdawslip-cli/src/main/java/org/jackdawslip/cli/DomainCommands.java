package org.jackdawslip.cli;

import java.io.PrintWriter;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.BundleWriter;
import org.jackdawslip.internal.bundle.DomainState;
import org.jackdawslip.internal.bundle.SignedBundle;
import org.jackdawslip.internal.json.NameSuggestion;
import org.jackdawslip.internal.store.Store;

/** Implements the subcommands of {@code domain}. Not thread-safe. */
final class DomainCommands {

    private final PrintWriter out;

    DomainCommands(PrintWriter out) {
        this.out = out;
    }

    ExitCode takeOut(Namespace arguments) {
        return changeState(arguments, DomainState.OUT);
    }

    ExitCode bringBack(Namespace arguments) {
        return changeState(arguments, DomainState.IN);
    }

    private ExitCode changeState(Namespace arguments, DomainState state) {
        FailureDomainId domain = new FailureDomainId(arguments.getString("domain"));
        KeyFile key = KeyFile.read(arguments.getString("key"));
        // The changed bundle is signed again, so a stored bundle without a trusted signature must be
        // rejected.
        Map<String, PublicKey> trusted = new LinkedHashMap<>(
                arguments.getList("trust") == null ? Map.of() : KeyFile.readTrustedKeys(arguments.getList("trust")));
        trusted.put(key.keyId(), key.publicKey());
        try (Store store = BundleRecord.connect(arguments.getString("store"))) {
            BundleRecord record = new BundleRecord(store);
            Bundle current = record.read()
                    .orElseThrow(() -> new JackdawslipException(ErrorCode.NO_BUNDLE, "the store has no bundle"))
                    .signed()
                    .verify(trusted);
            requireKnownDomain(domain, current);
            String stateText = state == DomainState.OUT ? "taken out" : "in use";
            if (current.failureDomains().get(domain) == state) {
                out.println("failure domain " + domain + " already is " + stateText + " in bundle version "
                        + current.version());
                return ExitCode.OK;
            }
            Map<FailureDomainId, DomainState> domains = new LinkedHashMap<>(current.failureDomains());
            domains.put(domain, state);
            Bundle changed = new Bundle(current.version() + 1, domains, current.services(), current.backendServers());
            record.rollOut(SignedBundle.sign(BundleWriter.write(changed), key.keyId(), key.privateKey()));
            out.println("failure domain " + domain + " is " + stateText + " in bundle version " + changed.version());
            return ExitCode.OK;
        }
    }

    private static void requireKnownDomain(FailureDomainId domain, Bundle bundle) {
        if (bundle.failureDomains().containsKey(domain)) {
            return;
        }
        List<String> knownDomains = new ArrayList<>();
        new TreeSet<>(bundle.failureDomains().keySet()).forEach(id -> knownDomains.add(id.value()));
        String suggestion = NameSuggestion.find(domain.value(), knownDomains)
                .map(text -> ", did you mean \"" + text + "\"?")
                .orElse("");
        throw new JackdawslipException(
                ErrorCode.INVALID_ARGUMENT,
                "unknown failure domain \"" + domain + "\"" + suggestion + "; known are "
                        + String.join(", ", knownDomains));
    }

    /**
     * Clears the coordinator record of a failure domain, so that any instance of the domain can claim the
     * role under a higher epoch. With {@code --ranges}, also moves the ranges of the domain to other domains.
     * The operator must name both the coordinator and the successor as stopped, because one that still runs
     * would act concurrently with the new coordinator.
     */
    ExitCode release(Namespace arguments) {
        FailureDomainId domain = new FailureDomainId(arguments.getString("domain"));
        List<String> stoppedInstances = arguments.getList("stopped");
        try (Store store = BundleRecord.connect(arguments.getString("store"))) {
            Bundle bundle = null;
            if (arguments.getBoolean("ranges")) {
                bundle = readBundleWithDomainOut(arguments, store, domain);
            }
            ObjectNode record = JsonRecordUpdater.update(store, "jackdawslip/domains/" + domain, current -> {
                        requireStopped(current, stoppedInstances);
                        current.put("coordinator", "");
                        current.put("successor", "");
                        current.put("epoch", current.path("epoch").asLong() + 1);
                    })
                    .orElseThrow(() -> new JackdawslipException(
                            ErrorCode.INVALID_ARGUMENT, "failure domain \"" + domain + "\" has no coordinator record"));
            out.println("failure domain " + domain + " is released under epoch " + record.path("epoch"));
            if (bundle != null) {
                releaseRanges(store, domain, bundle);
            }
        }
        return ExitCode.OK;
    }

    /**
     * Reads the bundle and checks that it has the domain taken out. A domain that is in use may be
     * partitioned instead of lost, and its instances may still serve its ranges.
     */
    private static Bundle readBundleWithDomainOut(Namespace arguments, Store store, FailureDomainId domain) {
        if (arguments.getList("trust") == null) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT, "--ranges requires --trust to verify the bundle");
        }
        Bundle bundle = new BundleRecord(store)
                .read()
                .orElseThrow(() -> new JackdawslipException(ErrorCode.NO_BUNDLE, "the store has no bundle"))
                .signed()
                .verify(KeyFile.readTrustedKeys(arguments.getList("trust")));
        requireKnownDomain(domain, bundle);
        if (bundle.inService(domain)) {
            throw new JackdawslipException(
                    ErrorCode.INVALID_ARGUMENT,
                    "failure domain \"" + domain + "\" is in use in bundle version " + bundle.version()
                            + "; take it out first");
        }
        return bundle;
    }

    private void releaseRanges(Store store, FailureDomainId domain, Bundle bundle) {
        for (ServiceName service : new TreeSet<>(bundle.services().keySet())) {
            List<String> targetDomains = bundle.failureDomains().keySet().stream()
                    .filter(other -> bundle.inService(other)
                            && !bundle.backendServers(service, other).isEmpty())
                    .map(FailureDomainId::value)
                    .sorted()
                    .toList();
            if (targetDomains.isEmpty()) {
                out.println("service " + service + ": no other failure domain can serve its ranges");
                continue;
            }
            int[] moved = new int[1];
            boolean exists = JsonRecordUpdater.update(
                            store,
                            "jackdawslip/homes/" + service,
                            homesRecord -> moved[0] = moveRanges(homesRecord, domain, targetDomains))
                    .isPresent();
            out.println("service " + service + ": "
                    + (exists ? moved[0] + " ranges moved to " + String.join(", ", targetDomains) : "has no ranges"));
        }
    }

    /**
     * Assigns the ranges of the domain to the target domains in turn and returns the number of moved ranges.
     */
    private static int moveRanges(ObjectNode homesRecord, FailureDomainId domain, List<String> targetDomains) {
        int moved = 0;
        for (JsonNode range : homesRecord.path("ranges")) {
            if (range instanceof ObjectNode object
                    && range.path("failureDomain").asText().equals(domain.value())) {
                object.put("failureDomain", targetDomains.get(moved % targetDomains.size()));
                moved++;
            }
        }
        homesRecord.put("version", homesRecord.path("version").asLong() + 1);
        return moved;
    }

    /** Requires that the operator names the coordinator and the successor, if set, as stopped. */
    private static void requireStopped(ObjectNode record, List<String> stoppedInstances) {
        for (String role : List.of("coordinator", "successor")) {
            String holder = record.path(role).asText("");
            if (!holder.isEmpty() && !stoppedInstances.contains(holder)) {
                throw new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT,
                        role + " \"" + holder + "\" is not among the stopped instances " + stoppedInstances
                                + "; end its process, then name it with --stopped");
            }
        }
    }
}
