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

/** Parses arguments, runs one command and turns errors into exit codes. Not thread-safe. */
final class CommandLine {

    private static final String COMMAND = "command";

    private final PrintWriter out;
    private final PrintWriter err;
    private final EntryLauncher launcher;

    CommandLine(PrintWriter out, PrintWriter err, EntryLauncher launcher) {
        this.out = out;
        this.err = err;
        this.launcher = launcher;
    }

    ExitCode run(String... args) {
        ArgumentParser parser = parser();
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
            Command command = arguments.get(COMMAND);
            Logging.configure(arguments.getString("settings"));
            return command.run(arguments);
        } catch (JackdawslipException e) {
            err.println(e.code() + ": " + e.getMessage());
            return ExitCode.of(e.code());
        } catch (RuntimeException e) {
            err.println(ErrorCode.INTERNAL + ": unexpected fault: " + e);
            return ExitCode.FAILURE;
        }
    }

    private ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("jackdawslip")
                .build()
                .defaultHelp(true)
                .description("Routes requests to backend servers that own keys exclusively.")
                .epilog(ExitCode.help());
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        BundleCommands bundles = new BundleCommands(out);
        DomainCommands domains = new DomainCommands(out);
        AdminCommands admin = new AdminCommands(out);

        Subparser run = add(commands, "run", "run an entry instance until it is stopped", this::runInstance);
        run.addArgument("--settings").required(true).metavar("FILE").help("settings in JSON");

        Subparser keygen = add(commands, "keygen", "make a key pair that signs bundles", bundles::keygen);
        keygen.addArgument("--key-id").required(true).metavar("ID").help("name of the key in settings and envelopes");
        keygen.addArgument("--out")
                .required(true)
                .metavar("FILE")
                .help("new private key file; FILE.pub gets the public key");

        ExplainCommand explain = new ExplainCommand(out, System.in);
        Subparser story = add(commands, "explain", "tell from logs why a request failed or was late", explain::run);
        story.addArgument("id").metavar("REQUEST-ID").help("id of the request as the caller sent it");
        story.addArgument("file").nargs("*").metavar("FILE").help("logs of the instances, or else standard input");
        output(story);

        addBundleCommands(commands, bundles);
        addDomainCommands(commands, domains);
        addAdminCommands(commands, admin);
        return parser;
    }

    private static void addBundleCommands(Subparsers commands, BundleCommands bundles) {
        Subparsers group = group(commands, "bundle", "check, sign, roll out or show bundles");
        Subparser check = add(group, "check", "list every fault of a bundle", bundles::check);
        check.addArgument("file").metavar("FILE").help("bundle in JSON");

        Subparser sign = add(group, "sign", "check and sign a bundle", bundles::sign);
        sign.addArgument("file").metavar("FILE").help("bundle in JSON");
        sign.addArgument("--key").required(true).metavar("FILE").help("private key file from keygen");
        sign.addArgument("--out").required(true).metavar("FILE").help("file for the signed bundle");

        Subparser rollout = add(group, "rollout", "put a signed bundle into the store", bundles::rollOut);
        rollout.addArgument("file").metavar("FILE").help("signed bundle");
        store(rollout);
        trust(rollout, true);

        Subparser show = add(group, "show", "show the bundle in the store", bundles::show);
        store(show);
        trust(show, false);
        output(show);
    }

    private static void addDomainCommands(Subparsers commands, DomainCommands domains) {
        Subparsers group = group(commands, "domain", "take failure domains out and bring them back");
        Subparser takeOut = add(group, "take-out", "give a failure domain no new work", domains::takeOut);
        domainChange(takeOut);
        Subparser bringBack = add(group, "bring-back", "let a failure domain take work again", domains::bringBack);
        domainChange(bringBack);
        Subparser release =
                add(group, "release", "remove coordinator and successor that are both lost", domains::release);
        release.addArgument("domain").metavar("DOMAIN").help("failure domain");
        release.addArgument("--stopped")
                .required(true)
                .action(Arguments.append())
                .metavar("INSTANCE")
                .help("coordinator or successor whose process has ended; name both by repeating the option");
        release.addArgument("--ranges")
                .action(Arguments.storeTrue())
                .help("move the ranges of a permanently lost failure domain that is taken out; needs --trust");
        store(release);
        trust(release, false);
    }

    private static void domainChange(Subparser change) {
        change.addArgument("domain").metavar("DOMAIN").help("failure domain");
        change.addArgument("--key").required(true).metavar("FILE").help("private key file that signs the change");
        store(change);
        trust(change, false);
    }

    private static void addAdminCommands(Subparsers commands, AdminCommands admin) {
        Subparser status = add(
                commands,
                "status",
                "show what instances say of themselves, with silent instances and failure domains",
                admin::status);
        addresses(status);
        output(status);

        Subparser request = add(commands, "request", "show what is recorded about a request", admin::request);
        request.addArgument("service").metavar("SERVICE").help("service");
        request.addArgument("id").metavar("REQUEST-ID").help("UUID of version 7");
        request.addArgument("--key").metavar("KEY").help("key of the request, for keyed services");
        addresses(request);
        output(request);

        Subparser drain = add(commands, "drain", "begin the planned stop of instances", admin::drain);
        addresses(drain);
    }

    private ExitCode runInstance(Namespace arguments) {
        EntrySettings settings = EntrySettings.read(Files.read(arguments.getString("settings")));
        launcher.run(settings);
        return ExitCode.OK;
    }

    private static Subparsers group(Subparsers commands, String name, String help) {
        return commands.addParser(name)
                .help(help)
                .description(help)
                .epilog(ExitCode.help())
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    private static Subparser add(Subparsers commands, String name, String help, Command command) {
        return commands.addParser(name)
                .help(help)
                .description(help)
                .defaultHelp(true)
                .epilog(ExitCode.help())
                .setDefault(COMMAND, command);
    }

    private static void store(Subparser parser) {
        parser.addArgument("--store").required(true).metavar("HOST:PORT").help("address of the store");
    }

    private static void trust(Subparser parser, boolean required) {
        parser.addArgument("--trust")
                .required(required)
                .action(Arguments.append())
                .metavar("FILE")
                .help("public key file of an operator whose signature counts; may be repeated");
    }

    private static void addresses(Subparser parser) {
        parser.addArgument("--admin")
                .required(true)
                .action(Arguments.append())
                .metavar("HOST:PORT")
                .help("admin address of an instance; may be repeated");
    }

    private static void output(Subparser parser) {
        parser.addArgument("--output")
                .choices("table", "json")
                .setDefault("table")
                .help("form of the result");
    }

    /** Runs with parsed arguments. */
    @FunctionalInterface
    interface Command {
        ExitCode run(Namespace arguments);
    }
}
