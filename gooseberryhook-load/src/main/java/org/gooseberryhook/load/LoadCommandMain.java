package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Runs {@link LoadCommand} as a program.
 *
 * @since 0.1
 */
public final class LoadCommandMain {

  private static final int EXIT_USAGE = 2;

  private LoadCommandMain() {}

  /**
   * Runs the command and exits with its status; 2 for wrong options.
   *
   * @param args the options, listed by {@code --help}
   */
  public static void main(String[] args) {
    LoadCommand command = new LoadCommand();
    JCommander commander =
        JCommander.newBuilder().programName("LoadCommandMain").addObject(command).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(EXIT_USAGE);
    }
    if (command.isHelp()) {
      commander.usage();
      return;
    }
    System.exit(command.run());
  }
}
