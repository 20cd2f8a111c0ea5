package org.gooseberryhook.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gooseberryhook.router.forward.ExplainPage;
import org.gooseberryhook.router.forward.ExplainQuery;
import org.gooseberryhook.router.forward.Explanation;
import org.gooseberryhook.router.forward.ProblemResponse;
import org.gooseberryhook.router.forward.StatusServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against options that do not reach the node, and failures with the status of a success. */
class ExplainCommandTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicReference<ExplainQuery> asked = new AtomicReference<>();
  private StatusServer server;
  private String address;

  @BeforeEach
  void start() throws Exception {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    server =
        new StatusServer(
            (EventLoop) group.next(),
            address,
            Map.of("/explain", query -> ExplainPage.respond(query, this::answer)));
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Explanation answer(ExplainQuery query) {
    asked.set(query);
    return new Explanation(
        OptionalLong.of(7),
        query,
        Optional.of(ProblemResponse.invalid(404, "no-route", "no route matches host and path")),
        Optional.empty(),
        List.of());
  }

  private static String run(int expectedStatus, String... arguments) {
    PrintStream usual = System.out;
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
    try {
      assertThat(Main.run(arguments)).isEqualTo(expectedStatus);
    } finally {
      System.setOut(usual);
    }
    return printed.toString(StandardCharsets.UTF_8);
  }

  @Test
  void theCommandAsksTheNodeAndPrintsItsAnswer() {
    String text =
        run(
            0,
            "explain --node %s --host h --path /x --workspace w --prompt-tokens 9 --estimate 5"
                .formatted(address)
                .split(" "));
    assertThat(text).contains("h /x", "404 no-route");
    assertThat(asked.get().workspace()).contains("w");
    assertThat(asked.get().promptTokens()).hasValue(9);
    assertThat(asked.get().estimatedOutputTokens()).hasValue(5);
    assertThat(asked.get().maxOutputTokens()).isEmpty();
    assertThat(run(0, "explain", "--node", address, "--host", "h", "--path", "/x", "--json"))
        .startsWith("{\"configurationVersion\":7,");
  }

  @Test
  void aQuestionThatTheNodeRefusesAndANodeThatIsAwayAreFailures() {
    assertThat(run(1, "explain", "--node", address, "--host", "h", "--path", "\n")).isEmpty();
    assertThat(run(1, "explain", "--node", "127.0.0.1:1", "--host", "h", "--path", "/x")).isEmpty();
    assertThat(run(2, "explain", "--host", "h", "--path", "/x")).isEmpty();
  }
}
