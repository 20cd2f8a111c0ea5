package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhook.load.LocalCluster;

/** Runs entry nodes and stand-ins in one JVM, either until interrupted or for the demo's checks. */
@Parameters(commandDescription = "Run entry nodes and stand-ins in one JVM on loopback")
final class DemoCommand implements Command {

  @Parameter(
      names = "--once",
      description = "Run the checks once, print whether each passed, and exit")
  private boolean isOnce;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    LocalCluster cluster = new LocalCluster(DemoLayout.get());
    try {
      cluster.start();
      if (isOnce) {
        boolean isPassed = new DemoChecks(cluster).run();
        System.out.println(isPassed ? "demo: all checks passed" : "demo: FAILED");
        return isPassed ? 0 : Main.EXIT_FAILURE;
      }
      printCurlLines(cluster);
      new CountDownLatch(1).await();
      return 0;
    } catch (IOException e) {
      System.err.println("demo: " + e.getMessage());
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } finally {
      cluster.stop();
    }
  }

  private static void printCurlLines(LocalCluster cluster) {
    System.out.println("The demo is up. Try:");
    System.out.printf(
        "curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\%n"
            + "  -d '{\"model\":\"%s\",\"prompt\":\"Quote a ramp\",\"max_tokens\":20,"
            + "\"stream\":true}' http://%s/v1/completions%n",
        DemoLayout.CALLER_KEY, DemoLayout.MODEL_ID, cluster.getCallerAddresses().get(0));
    System.out.printf(
        "curl -H 'Authorization: Bearer %s' http://%s/v1/addresses%n",
        DemoLayout.CALLER_KEY, cluster.getCallerAddresses().get(1));
    System.out.println("Press Ctrl-C to stop.");
  }
}
