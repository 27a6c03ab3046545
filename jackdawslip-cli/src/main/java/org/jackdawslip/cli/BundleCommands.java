package org.jackdawslip.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.bundle.BundleReader;
import org.jackdawslip.internal.bundle.SignedBundle;
import org.jackdawslip.internal.store.Store;

/** Implements the command {@code keygen} and the subcommands of {@code bundle}. Not thread-safe. */
final class BundleCommands {

    private final PrintWriter out;

    BundleCommands(PrintWriter out) {
        this.out = out;
    }

    ExitCode keygen(Namespace arguments) {
        Output.printJson(out, KeyFile.generate(arguments.getString("key_id"), arguments.getString("out")));
        return ExitCode.OK;
    }

    ExitCode check(Namespace arguments) {
        Bundle bundle = BundleReader.read(Files.read(arguments.getString("file")));
        out.println("bundle version " + bundle.version() + " is valid: "
                + bundle.services().size() + " services, "
                + bundle.backendServers().size() + " backend servers, "
                + bundle.failureDomains().size() + " failure domains");
        return ExitCode.OK;
    }

    ExitCode sign(Namespace arguments) {
        KeyFile keyFile = KeyFile.read(arguments.getString("key"));
        SignedBundle signed =
                SignedBundle.sign(Files.read(arguments.getString("file")), keyFile.keyId(), keyFile.privateKey());
        Files.write(arguments.getString("out"), signed.toJson());
        out.println("bundle version " + signed.version() + " is signed with key " + keyFile.keyId());
        return ExitCode.OK;
    }

    ExitCode rollOut(Namespace arguments) {
        SignedBundle signed = SignedBundle.parse(Files.read(arguments.getString("file")));
        signed.verify(KeyFile.readTrustedKeys(arguments.getList("trust")));
        try (Store store = BundleRecord.connect(arguments.getString("store"))) {
            new BundleRecord(store).rollOut(signed);
        }
        out.println("bundle version " + signed.version() + " is accepted");
        return ExitCode.OK;
    }

    ExitCode show(Namespace arguments) {
        SignedBundle signed;
        try (Store store = BundleRecord.connect(arguments.getString("store"))) {
            signed = new BundleRecord(store)
                    .read()
                    .orElseThrow(() -> new JackdawslipException(ErrorCode.NO_BUNDLE, "the store has no bundle"))
                    .signed();
        }
        List<String> trustedKeyFiles = arguments.getList("trust");
        String signatureState = "not checked";
        if (trustedKeyFiles != null) {
            signed.verify(KeyFile.readTrustedKeys(trustedKeyFiles));
            signatureState = "valid";
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("version", signed.version());
        result.put("keyId", signed.keyId());
        result.put("signature", signatureState);
        try {
            if (Output.wantsJson(arguments)) {
                result.put("bundle", Output.JSON.readTree(signed.document()));
                Output.printJson(out, result);
            } else {
                out.println(
                        "version " + signed.version() + ", key " + signed.keyId() + ", signature " + signatureState);
                Output.printJson(out, Output.JSON.readTree(signed.document()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the bundle in the store is not JSON", e);
        }
        return ExitCode.OK;
    }
}
