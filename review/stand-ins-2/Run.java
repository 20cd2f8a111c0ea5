import java.nio.file.Path;

/** Plays a case and ends the process with its result. */
final class Run {

  /** A case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  interface Case {
    int play(Path repository) throws Exception;
  }

  private Run() {}

  /** Returns whether the disruption is played. */
  static boolean isTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Plays a case; the arguments are the repository and the file of the record. */
  static void play(String[] args, Case body) {
    int status = 2;
    try {
      Record.open(Path.of(args[1]));
      Record.line(isTrouble() ? "with the disruption" : "without the disruption");
      status = body.play(Path.of(args[0]));
    } catch (Throwable e) {
      e.printStackTrace();
    }
    Record.line("status " + status);
    Runtime.getRuntime().halt(status);
  }

  /** Records and prints the result. */
  static void report(String result) {
    Record.line(result);
    System.out.println(result);
  }
}
