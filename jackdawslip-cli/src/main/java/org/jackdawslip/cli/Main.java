package org.jackdawslip.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/** Entry point of {@code bin/jackdawslip}. */
public final class Main {

    private Main() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] args) {
        // Standard output carries results only, so that scripts can parse it.
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        ExitCode code = new CommandLine(out, err, new InstanceLauncher()).run(args);
        out.flush();
        err.flush();
        System.exit(code.number());
    }
}
