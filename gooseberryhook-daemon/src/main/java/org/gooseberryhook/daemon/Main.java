package org.gooseberryhook.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Entry point of the command line. */
public final class Main {

  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Options of the program itself. */
  private static final class ProgramOptions {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Show the commands and their options")
    private boolean isHelp;
  }

  /**
   * Runs a command and exits with its status: 0 for success, 1 for a failure, 2 for a wrong command
   * line.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  /**
   * Runs a command.
   *
   * @param args the command line
   * @return the exit status
   */
  static int run(String[] args) {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("demo", new DemoCommand());
    ProgramOptions options = new ProgramOptions();
    JCommander commander = JCommander.newBuilder().programName("gooseberryhook").build();
    commander.addObject(options);
    commands.forEach(commander::addCommand);
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("gooseberryhook: " + e.getMessage() + "; see gooseberryhook --help");
      return EXIT_USAGE;
    }
    String name = commander.getParsedCommand();
    if (options.isHelp || name == null) {
      commander.usage();
      return options.isHelp ? 0 : EXIT_USAGE;
    }
    Command command = commands.get(name);
    if (command.isHelp()) {
      commander.getCommands().get(name).usage();
      return 0;
    }
    return command.run();
  }
}
