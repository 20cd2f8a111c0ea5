package org.gooseberryhook.daemon;

/** Command of the command line. Its options are fields with JCommander annotations. */
interface Command {

  /**
   * Returns whether the user requested help for the command.
   *
   * @return true if {@code --help} was given
   */
  boolean isHelp();

  /**
   * Runs the command.
   *
   * @return the exit status
   */
  int run();
}
