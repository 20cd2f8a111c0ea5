package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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

/** Guards against questions that reach the page of a node in another form than they were asked. */
class ExplainClientTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicReference<ExplainQuery> asked = new AtomicReference<>();
  private StatusServer server;
  private ExplainClient client;

  @BeforeEach
  void start() throws Exception {
    String address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    server =
        new StatusServer(
            (EventLoop) group.next(),
            address,
            Map.of("/explain", query -> ExplainPage.respond(query, this::answer)));
    server.start();
    client = new ExplainClient(address);
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

  @Test
  void aQuestionReachesThePageAndItsAnswerComesBack() throws Exception {
    String text =
        client.explain(
            Map.of(
                "host", "h.example", "path", "/a b/ü?&x", "workspace", "w", "promptTokens", "9"));
    assertThat(asked.get().path()).isEqualTo("/a b/ü?&x");
    assertThat(asked.get().workspace()).contains("w");
    assertThat(asked.get().promptTokens()).hasValue(9);
    assertThat(asked.get().maxOutputTokens()).isEmpty();
    assertThat(text).contains("rejected", "404 no-route");
    String json = client.explain(Map.of("host", "h", "path", "/", "format", "json"));
    assertThat(json).startsWith("{\"configurationVersion\":7,").contains("\"kind\":\"no-route\"");
  }

  @Test
  void aRefusedQuestionAndANodeThatIsAwayAreErrors() throws Exception {
    assertThatThrownBy(() -> client.explain(Map.of("host", "h")))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("400")
        .hasMessageContaining("path is missing");
    server.stop();
    assertThatThrownBy(() -> new ExplainClient("127.0.0.1:1").explain(Map.of()))
        .isInstanceOf(IOException.class);
    assertThatThrownBy(() -> new ExplainClient("no address"))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
