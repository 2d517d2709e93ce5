package org.passhaven.cli;

import io.smallrye.mutiny.infrastructure.Infrastructure;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry of the program. */
public final class Main {
  private static final Logger LOG = LoggerFactory.getLogger(Main.class);
  private static final String PROGRAM = "passhaven";
  private static final int NAME_WIDTH = 12;
  private static final List<Command> COMMANDS =
      List.of(
          new QuickstartCommand(),
          new ExperimentCommand(),
          new CapacityCommand(),
          new NodeCommand(),
          new EmulatorCommand(),
          new SoakCommand(),
          new ValidateCommand(),
          new ApplyCommand(),
          new DiffCommand(),
          new StatusCommand(),
          new DrainCommand());

  private Main() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    // A stream that was cancelled may still fail; nobody waits for that any more.
    Infrastructure.setDroppedExceptionHandler(
        failure -> LOG.debug("main: a late failure is dropped", failure));
    System.exit(run(arguments).code());
  }

  static ExitCode run(String[] arguments) {
    if (arguments.length == 0 || arguments[0].equals("--help") || arguments[0].equals("help")) {
      printHelp();
      return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    for (Command command : COMMANDS) {
      if (command.name().equals(arguments[0])) {
        return run(command, Arrays.copyOfRange(arguments, 1, arguments.length));
      }
    }
    System.err.println(PROGRAM + ": no command " + arguments[0] + "; see " + PROGRAM + " --help");
    return ExitCode.USAGE;
  }

  private static ExitCode run(Command command, String[] arguments) {
    Options options = command.options().addOption(Flags.simple("help", "shows this help"));
    try {
      CommandLine line = new DefaultParser(false).parse(options, arguments);
      if (line.hasOption("help")) {
        printHelp(command, options);
        return ExitCode.OK;
      }
      return command.run(line);
    } catch (ParseException e) {
      System.err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
      return ExitCode.USAGE;
    } catch (CommandException e) {
      e.getMessage()
          .lines()
          .forEach(text -> System.err.println(PROGRAM + " " + command.name() + ": " + text));
      return e.exitCode();
    }
  }

  private static void printHelp() {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    out.println("usage: " + PROGRAM + " COMMAND [options]");
    for (Command command : COMMANDS) {
      out.println(
          "  "
              + command.name()
              + " ".repeat(Math.max(1, NAME_WIDTH - command.name().length()))
              + command.summary());
    }
    out.println(
        "Each command has --help. Exit codes: 0 done, 1 broken promise, 2 usage, 3 invalid, 4 conflict, 5 unreachable.");
  }

  private static void printHelp(Command command, Options options) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    out.println("usage: " + PROGRAM + " " + command.name() + " [options] " + command.arguments());
    out.println(command.summary());
    options
        .getOptions()
        .forEach(
            option -> {
              String value = option.hasArg() ? " " + option.getArgName() : "";
              out.println("  --" + option.getLongOpt() + value + "  " + option.getDescription());
            });
  }
}
