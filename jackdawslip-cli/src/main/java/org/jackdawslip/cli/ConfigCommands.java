package org.jackdawslip.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.bundle.BundleReader;
import org.jackdawslip.internal.check.ConfigurationCheck;
import org.jackdawslip.internal.check.ConfigurationField;
import org.jackdawslip.internal.check.ConfigurationFormat;
import org.jackdawslip.internal.check.DocumentDifferences;
import org.jackdawslip.internal.check.Finding;
import org.jackdawslip.internal.check.Finding.Severity;
import org.jackdawslip.internal.json.InvalidDocumentException;

/**
 * Implements {@code config check} for bundles and for routing configurations, whose format is found on the class path.
 * Not thread-safe.
 */
final class ConfigCommands {

    /** Memory of the smallest instances of the deployments. */
    static final int DEFAULT_MEMORY_MEGABYTES = 330;

    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** A field that only bundles have. */
    private static final String BUNDLE_FIELD = "backendServers";

    private final PrintWriter out;

    ConfigCommands(PrintWriter out) {
        this.out = out;
    }

    ExitCode check(Namespace arguments) {
        String file = arguments.getString("file");
        JsonNode next = parse(file);
        boolean bundle = next.has(BUNDLE_FIELD);
        ConfigurationFormat format = bundle ? null : routingFormat();
        List<Finding> findings = bundle ? bundleFindings(Files.read(file)) : routingFindings(format, next, arguments);
        List<String> differences = null;
        if (arguments.getString("in_force") != null) {
            JsonNode inForce = parse(arguments.getString("in_force"));
            findings.addAll(versionFindings(inForce, next));
            Set<String> secretFields = bundle ? Set.of() : Set.of(format.name(ConfigurationField.CREDENTIALS));
            differences = new DocumentDifferences(secretFields).describe(inForce, next);
        }
        print(arguments, findings, differences);
        return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR)
                ? ExitCode.BAD_INPUT
                : ExitCode.OK;
    }

    private static JsonNode parse(String file) {
        try {
            JsonNode root = Output.JSON.readTree(Files.read(file));
            if (root != null && root.isObject()) {
                return root;
            }
        } catch (IOException e) {
            // The message of the parser contains a part of the document, which may hold credentials.
            throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "file \"" + file + "\" is not JSON", e);
        }
        throw new JackdawslipException(ErrorCode.INVALID_ARGUMENT, "file \"" + file + "\" is not a JSON object");
    }

    private static ConfigurationFormat routingFormat() {
        return ServiceLoader.load(ConfigurationFormat.class)
                .findFirst()
                .orElseThrow(() -> new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT,
                        "the file is no bundle, and no format for routing configurations is on the class path: build"
                                + " the module platform"));
    }

    private static List<Finding> bundleFindings(byte[] document) {
        List<Finding> findings = new ArrayList<>();
        try {
            BundleReader.read(document);
        } catch (InvalidDocumentException e) {
            e.faults()
                    .forEach(fault -> findings.add(new Finding(
                            Severity.ERROR, fault.path(), fault.problem() + "; allowed: " + fault.allowed())));
        }
        return findings;
    }

    private static List<Finding> routingFindings(ConfigurationFormat format, JsonNode root, Namespace arguments) {
        long memoryBytes = arguments.getInt("memory_mb") * BYTES_PER_MEGABYTE;
        return new ConfigurationCheck(format, root, memoryBytes, serverCounts(arguments.getList("servers"))).run();
    }

    private static Map<String, Integer> serverCounts(List<String> options) {
        Map<String, Integer> counts = new HashMap<>();
        for (String option : Optional.ofNullable(options).orElse(List.of())) {
            int separator = option.indexOf('=');
            try {
                counts.put(
                        option.substring(0, Math.max(0, separator)),
                        Integer.parseUnsignedInt(option.substring(separator + 1)));
            } catch (NumberFormatException e) {
                throw new JackdawslipException(
                        ErrorCode.INVALID_ARGUMENT, "--servers \"" + option + "\" is not SERVICE=NUMBER", e);
            }
        }
        return counts;
    }

    private static List<Finding> versionFindings(JsonNode inForce, JsonNode next) {
        JsonNode before = inForce.path("version");
        JsonNode after = next.path("version");
        if (!before.isNumber() || !after.isNumber() || after.asLong() > before.asLong()) {
            return List.of();
        }
        return List.of(
                new Finding(Severity.ERROR, "$.version", after + " is not above " + before + ", which is in force"));
    }

    private void print(Namespace arguments, List<Finding> findings, List<String> differences) {
        if (Output.wantsJson(arguments)) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("findings", findings.stream().map(ConfigCommands::toJson).toList());
            if (differences != null) {
                result.put("differences", differences);
            }
            Output.printJson(out, result);
            return;
        }
        findings.forEach(out::println);
        long errors = findings.stream()
                .filter(finding -> finding.severity() == Severity.ERROR)
                .count();
        out.println(errors + " errors, " + (findings.size() - errors) + " warnings");
        if (differences != null) {
            out.println(differences.isEmpty() ? "no differences" : "differences from the version in force:");
            differences.forEach(line -> out.println("  " + line));
        }
    }

    private static Map<String, String> toJson(Finding finding) {
        Map<String, String> result = new LinkedHashMap<>();
        result.put("severity", finding.severity().name().toLowerCase(Locale.ROOT));
        result.put("path", finding.path());
        result.put("problem", finding.problem());
        return result;
    }
}
