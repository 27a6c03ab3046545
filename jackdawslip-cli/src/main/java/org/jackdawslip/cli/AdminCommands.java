package org.jackdawslip.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import org.jackdawslip.RequestId;
import org.jackdawslip.ServiceName;

/** Implements the commands that call instances at their admin addresses. Not thread-safe. */
final class AdminCommands {

    private static final List<String> REQUEST_COLUMNS = List.of("state", "status");

    private final PrintWriter out;

    AdminCommands(PrintWriter out) {
        this.out = out;
    }

    ExitCode status(Namespace arguments) {
        List<AdminClient.Response> responses = AdminClient.queryAll(arguments.getList("admin"), "GET", "/status", null);
        StatusReport report = new StatusReport(responses);
        if (Output.wantsJson(arguments)) {
            Output.printJson(out, report.toJson());
        } else {
            report.print(out);
        }
        return exitCode(responses);
    }

    ExitCode request(Namespace arguments) {
        ServiceName service = new ServiceName(arguments.getString("service"));
        RequestId id = RequestId.parse(arguments.getString("id"));
        List<AdminClient.Response> responses = AdminClient.queryAll(
                arguments.getList("admin"), "GET", "/requests/" + service + "/" + id, arguments.getString("key"));
        printResponses(arguments, responses);
        return exitCode(responses);
    }

    ExitCode drain(Namespace arguments) {
        List<AdminClient.Response> responses = AdminClient.queryAll(arguments.getList("admin"), "POST", "/drain", null);
        responses.forEach(response -> out.println(response.address()
                + (response.isSuccess() ? " is draining" : " did not respond: " + response.problem())));
        return exitCode(responses);
    }

    /** Returns {@code answered}, {@code refused} or {@code silent}. */
    private static String responseState(AdminClient.Response response) {
        return response.isSuccess() ? "answered" : response.refusalCode().isPresent() ? "refused" : "silent";
    }

    /**
     * Returns the exit code for a set of responses. A silent instance takes precedence over a refusal,
     * because the result is incomplete without its response.
     */
    private static ExitCode exitCode(List<AdminClient.Response> responses) {
        ExitCode code = ExitCode.OK;
        for (AdminClient.Response response : responses) {
            if (!response.isSuccess()) {
                if (response.refusalCode().isEmpty()) {
                    return ExitCode.UNREACHABLE;
                }
                code = ExitCode.of(response.refusalCode().get());
            }
        }
        return code;
    }

    private void printResponses(Namespace arguments, List<AdminClient.Response> responses) {
        if (Output.wantsJson(arguments)) {
            List<Object> entries = new ArrayList<>();
            for (AdminClient.Response response : responses) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("address", response.address());
                entry.put("reply", responseState(response));
                entry.put(
                        response.isSuccess() ? "answer" : "problem",
                        response.isSuccess() ? response.body() : response.problem());
                entries.add(entry);
            }
            Output.printJson(out, entries);
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        List<String> header = new ArrayList<>(List.of("address", "reply"));
        header.addAll(REQUEST_COLUMNS);
        header.add("problem");
        rows.add(header);
        for (AdminClient.Response response : responses) {
            List<String> row = new ArrayList<>(List.of(response.address(), responseState(response)));
            REQUEST_COLUMNS.forEach(name -> row.add(response.body().path(name).asText("-")));
            row.add(response.problem());
            rows.add(row);
        }
        Output.printTable(out, rows);
    }
}
