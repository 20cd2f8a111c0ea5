package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhook.transport.NodeService;
import org.gooseberryhook.transport.NodeSettings;
import org.gooseberryhook.transport.SettingsFault;
import org.gooseberryhook.transport.SettingsReader;
import org.gooseberryhook.transport.SettingsResult;
import org.jboss.logging.Logger;

/** Runs an entry node until SIGTERM or SIGINT and then drains it. */
@Parameters(commandDescription = "Run an entry node until SIGTERM or SIGINT, then drain it")
final class NodeCommand implements Command {

  private static final Logger LOG = Logger.getLogger(NodeCommand.class);

  /** Maximum duration of a drain, as a process that is stopped must exit within 30 s. */
  private static final long MAX_DRAIN_MS = 29_500;

  @Parameter(names = "--settings", required = true, description = "Settings file (TOML)")
  private Path settingsFile;

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
    SettingsResult result = SettingsReader.read(settingsFile);
    if (result instanceof SettingsResult.Faulty faulty) {
      System.err.println(
          "node: not started; " + settingsFile + " has " + faulty.faults().size() + " faults:");
      faulty.faults().stream().map(SettingsFault::toText).forEach(System.err::println);
      return Main.EXIT_FAILURE;
    }
    NodeSettings settings = ((SettingsResult.Loaded) result).settings();
    NodeService node = new NodeService(settings);
    try {
      node.start();
    } catch (RuntimeException e) {
      node.stop();
      System.err.println("node: not started; " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(node), "drain"));
    return waitForSignal();
  }

  private static int waitForSignal() {
    try {
      new CountDownLatch(1).await();
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.EXIT_FAILURE;
    }
  }

  /**
   * Drains the node and halts the process; runs as the shutdown hook. A Java process that ends by a
   * signal exits with status 128 + signal unless it is halted, and a planned stop must exit with 0.
   */
  private static void drainAndHalt(NodeService node) {
    Thread drain = new Thread(node::drain, "drain-steps");
    boolean[] isFailed = new boolean[1];
    drain.setUncaughtExceptionHandler(
        (thread, cause) -> {
          LOG.error("the drain failed; the process exits", cause);
          isFailed[0] = true;
        });
    drain.start();
    try {
      drain.join(MAX_DRAIN_MS);
    } catch (InterruptedException e) {
      isFailed[0] = true;
    }
    if (drain.isAlive()) {
      LOG.errorf("the drain did not finish within %d ms; the process exits", MAX_DRAIN_MS);
      isFailed[0] = true;
    }
    Runtime.getRuntime().halt(isFailed[0] ? Main.EXIT_FAILURE : 0);
  }
}
