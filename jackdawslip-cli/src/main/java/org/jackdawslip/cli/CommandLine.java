package org.jackdawslip.cli;

import java.io.PrintWriter;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.settings.EntrySettings;

/** Parses arguments, runs one command and maps errors to exit codes. Not thread-safe. */
final class CommandLine {

    private static final String COMMAND_ATTRIBUTE = "command";

    private final PrintWriter out;
    private final PrintWriter err;
    private final EntryLauncher launcher;

    CommandLine(PrintWriter out, PrintWriter err, EntryLauncher launcher) {
        this.out = out;
        this.err = err;
        this.launcher = launcher;
    }

    /**
     * Runs one command. Errors are printed to the error output and returned as an exit code, never thrown.
     */
    ExitCode run(String... args) {
        ArgumentParser parser = createParser();
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            e.getParser().printUsage(err);
            err.println(ErrorCode.INVALID_ARGUMENT + ": " + e.getMessage() + "; see --help");
            return ExitCode.BAD_INPUT;
        }
        try {
            Command command = arguments.get(COMMAND_ATTRIBUTE);
            Logging.configure(arguments.getString("settings"));
            return command.run(arguments);
        } catch (JackdawslipException e) {
            err.println(e.code() + ": " + e.getMessage());
            return ExitCode.of(e.code());
        } catch (RuntimeException e) {
            err.println(ErrorCode.INTERNAL + ": unexpected error: " + e);
            return ExitCode.FAILURE;
        }
    }

    private ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor("jackdawslip")
                .build()
                .defaultHelp(true)
                .description("Routes requests to backend servers that own keys exclusively.")
                .epilog(ExitCode.help());
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        BundleCommands bundles = new BundleCommands(out);
        DomainCommands domains = new DomainCommands(out);
        AdminCommands admin = new AdminCommands(out);

        Subparser run = addCommand(commands, "run", "run an entry instance until it is stopped", this::runInstance);
        run.addArgument("--settings").required(true).metavar("FILE").help("settings in JSON");

        Subparser keygen = addCommand(commands, "keygen", "make a key pair that signs bundles", bundles::keygen);
        keygen.addArgument("--key-id").required(true).metavar("ID").help("name of the key in settings and envelopes");
        keygen.addArgument("--out")
                .required(true)
                .metavar("FILE")
                .help("new private key file; FILE.pub gets the public key");

        ExplainCommand explain = new ExplainCommand(out, System.in);
        Subparser explainParser =
                addCommand(commands, "explain", "tell from logs why a request failed or was late", explain::run);
        explainParser.addArgument("id").metavar("REQUEST-ID").help("id of the request as the caller sent it");
        explainParser
                .addArgument("file")
                .nargs("*")
                .metavar("FILE")
                .help("logs of the instances, or else standard input");
        addOutputOption(explainParser);

        addBundleCommands(commands, bundles);
        addConfigCommands(commands, new ConfigCommands(out));
        addDomainCommands(commands, domains);
        addAdminCommands(commands, admin);
        return parser;
    }

    private static void addBundleCommands(Subparsers commands, BundleCommands bundles) {
        Subparsers group = addCommandGroup(commands, "bundle", "check, sign, roll out or show bundles");
        Subparser check = addCommand(group, "check", "list every fault of a bundle", bundles::check);
        check.addArgument("file").metavar("FILE").help("bundle in JSON");

        Subparser sign = addCommand(group, "sign", "check and sign a bundle", bundles::sign);
        sign.addArgument("file").metavar("FILE").help("bundle in JSON");
        sign.addArgument("--key").required(true).metavar("FILE").help("private key file from keygen");
        sign.addArgument("--out").required(true).metavar("FILE").help("file for the signed bundle");

        Subparser rollout = addCommand(group, "rollout", "put a signed bundle into the store", bundles::rollOut);
        rollout.addArgument("file").metavar("FILE").help("signed bundle");
        addStoreOption(rollout);
        addTrustOption(rollout, true);

        Subparser show = addCommand(group, "show", "show the bundle in the store", bundles::show);
        addStoreOption(show);
        addTrustOption(show, false);
        addOutputOption(show);
    }

    private static void addConfigCommands(Subparsers commands, ConfigCommands configurations) {
        Subparsers group = addCommandGroup(commands, "config", "check a routing configuration or a bundle");
        Subparser check = addCommand(
                group,
                "check",
                "list errors, routes that never match, contradictory limits and differences",
                configurations::check);
        check.addArgument("file").metavar("NEW").help("routing configuration or bundle in JSON");
        check.addArgument("--in-force").metavar("OLD").help("the version in force, to list the differences from");
        check.addArgument("--memory-mb")
                .type(Integer.class)
                .setDefault(ConfigCommands.DEFAULT_MEMORY_MEGABYTES)
                .metavar("MB")
                .help("memory of the smallest instance");
        check.addArgument("--servers")
                .action(Arguments.append())
                .metavar("SERVICE=NUMBER")
                .help("number of backend servers of a service; may be repeated");
        addOutputOption(check);
    }

    private static void addDomainCommands(Subparsers commands, DomainCommands domains) {
        Subparsers group = addCommandGroup(commands, "domain", "take failure domains out and bring them back");
        Subparser takeOut = addCommand(group, "take-out", "give a failure domain no new work", domains::takeOut);
        addDomainChangeArguments(takeOut);
        Subparser bringBack =
                addCommand(group, "bring-back", "let a failure domain take work again", domains::bringBack);
        addDomainChangeArguments(bringBack);
        Subparser release =
                addCommand(group, "release", "remove coordinator and successor that are both lost", domains::release);
        release.addArgument("domain").metavar("DOMAIN").help("failure domain");
        release.addArgument("--stopped")
                .required(true)
                .action(Arguments.append())
                .metavar("INSTANCE")
                .help("coordinator or successor whose process has ended; name both by repeating the option");
        release.addArgument("--ranges")
                .action(Arguments.storeTrue())
                .help("move the ranges of a permanently lost failure domain that is taken out; needs --trust");
        addStoreOption(release);
        addTrustOption(release, false);
    }

    private static void addDomainChangeArguments(Subparser change) {
        change.addArgument("domain").metavar("DOMAIN").help("failure domain");
        change.addArgument("--key").required(true).metavar("FILE").help("private key file that signs the change");
        addStoreOption(change);
        addTrustOption(change, false);
    }

    private static void addAdminCommands(Subparsers commands, AdminCommands admin) {
        Subparser status = addCommand(
                commands,
                "status",
                "show what instances say of themselves, with silent instances and failure domains",
                admin::status);
        addAdminOption(status);
        addOutputOption(status);

        Subparser request = addCommand(commands, "request", "show what is recorded about a request", admin::request);
        request.addArgument("service").metavar("SERVICE").help("service");
        request.addArgument("id").metavar("REQUEST-ID").help("UUID of version 7");
        request.addArgument("--key").metavar("KEY").help("key of the request, for keyed services");
        addAdminOption(request);
        addOutputOption(request);

        Subparser drain = addCommand(commands, "drain", "begin the planned stop of instances", admin::drain);
        addAdminOption(drain);
    }

    private ExitCode runInstance(Namespace arguments) {
        EntrySettings settings = EntrySettings.read(Files.read(arguments.getString("settings")));
        launcher.run(settings);
        return ExitCode.OK;
    }

    private static Subparsers addCommandGroup(Subparsers commands, String name, String help) {
        return commands.addParser(name)
                .help(help)
                .description(help)
                .epilog(ExitCode.help())
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    private static Subparser addCommand(Subparsers commands, String name, String help, Command command) {
        return commands.addParser(name)
                .help(help)
                .description(help)
                .defaultHelp(true)
                .epilog(ExitCode.help())
                .setDefault(COMMAND_ATTRIBUTE, command);
    }

    private static void addStoreOption(Subparser parser) {
        parser.addArgument("--store").required(true).metavar("HOST:PORT").help("address of the store");
    }

    private static void addTrustOption(Subparser parser, boolean required) {
        parser.addArgument("--trust")
                .required(required)
                .action(Arguments.append())
                .metavar("FILE")
                .help("public key file of an operator whose signature counts; may be repeated");
    }

    private static void addAdminOption(Subparser parser) {
        parser.addArgument("--admin")
                .required(true)
                .action(Arguments.append())
                .metavar("HOST:PORT")
                .help("admin address of an instance; may be repeated");
    }

    private static void addOutputOption(Subparser parser) {
        parser.addArgument("--output")
                .choices("table", "json")
                .setDefault("table")
                .help("form of the result");
    }

    /** A command that runs with parsed arguments. */
    @FunctionalInterface
    interface Command {
        ExitCode run(Namespace arguments);
    }
}
