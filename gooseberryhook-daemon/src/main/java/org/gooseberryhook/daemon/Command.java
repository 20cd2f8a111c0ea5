package org.gooseberryhook.daemon;

/** A command of the program; its fields carry JCommander annotations. */
interface Command {

  /**
   * Tells whether the user asked for the command's options.
   *
   * @return true for {@code --help}
   */
  boolean isHelp();

  /**
   * Runs the command.
   *
   * @return the exit status
   */
  int run();
}
