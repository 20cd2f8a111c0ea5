package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import org.junit.jupiter.api.Test;

/** Guards against requests that end without an answer after an unchecked exception. */
class FailingStepTest extends RouterNodeHarness {

  @Override
  EngineControl newEngines() {
    EngineControl engines = super.newEngines();
    return (EngineControl)
        Proxy.newProxyInstance(
            EngineControl.class.getClassLoader(),
            new Class<?>[] {EngineControl.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("readStateAnew")) {
                throw new IllegalStateException("injected");
              }
              return method.invoke(engines, arguments);
            });
  }

  private String answerAfter(TargetStandin.Script script) throws Exception {
    addTarget("plain", null, script);
    startNode();
    return exchange(post("/book/x", "b"));
  }

  @Test
  void aRequestWhoseTimerThrowsIsAnswered() throws Exception {
    assertThat(answerAfter((request, out) -> Thread.sleep(5_000)))
        .startsWith("HTTP/1.1 502")
        .contains("internal-error", "unknown");
  }

  @Test
  void aRequestWhoseListenerThrowsIsAnswered() throws Exception {
    assertThat(
            answerAfter(
                (request, out) -> {
                  throw new IOException("broken");
                }))
        .startsWith("HTTP/1.1 502")
        .contains("internal-error", "unknown");
  }
}
