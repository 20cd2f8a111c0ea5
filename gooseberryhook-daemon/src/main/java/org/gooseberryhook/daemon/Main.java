package org.gooseberryhook.daemon;

/** Entry point of the command line. */
public final class Main {

  private Main() {}

  /**
   * Runs a command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.out.println("gooseberryhook");
  }
}
