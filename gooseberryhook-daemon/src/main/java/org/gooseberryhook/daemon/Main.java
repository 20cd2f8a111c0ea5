package org.gooseberryhook.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gooseberryhook.load.LoadCommand;

/** Entry point of the command line. */
public final class Main {

  /** Exit status of a command that failed. */
  static final int EXIT_FAILURE = 1;

  /** Exit status of an invalid command line. */
  static final int EXIT_USAGE = 2;

  private Main() {}

  /** Options that are given without a command. */
  private static final class ProgramOptions {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Show the commands and their options")
    private boolean isHelp;
  }

  /**
   * Runs a command and exits with its status: 0 for success, 1 for a failure, 2 for an invalid
   * command line.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("node")) {
      // A node writes only its log, to stdout; other commands print their results there.
      System.setProperty("gooseberryhook.log", "System.out");
    }
    int status = EXIT_FAILURE;
    try {
      status = run(args);
    } catch (RuntimeException e) {
      // Fall through to the exit, as non-daemon threads would keep the process running.
      System.err.println("gooseberryhook: " + e);
    }
    System.exit(status);
  }

  /**
   * Runs a command.
   *
   * @param args the command line
   * @return the exit status
   */
  static int run(String[] args) {
    LoadCommand load = new LoadCommand();
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("demo", new DemoCommand());
    commands.put("node", new NodeCommand());
    commands.put("standin", new StandinCommand());
    commands.put("admin", new AdminCommand());
    commands.put("check-settings", new CheckSettingsCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("load", new LoadAdapter(load));
    ProgramOptions options = new ProgramOptions();
    JCommander commander = JCommander.newBuilder().programName("gooseberryhook").build();
    commander.addObject(options);
    commands.forEach(
        (name, command) ->
            commander.addCommand(name, command instanceof LoadAdapter ? load : command));
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

  /** Adapts the load tool's command, which another module declares, to {@link Command}. */
  private record LoadAdapter(LoadCommand load) implements Command {

    @Override
    public boolean isHelp() {
      return load.isHelp();
    }

    @Override
    public int run() {
      return load.run();
    }
  }
}
