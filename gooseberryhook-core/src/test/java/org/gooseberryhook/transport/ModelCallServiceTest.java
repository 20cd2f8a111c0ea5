package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.protocol.AnswerSink;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.junit.jupiter.api.Test;

class ModelCallServiceTest {

  /**
   * Guards against a call that is accepted while a stopping node releases its leases, and is
   * aborted when the node ends.
   */
  @Test
  void aCallAfterRefuseNewIsNotRunAndNotCounted() {
    NodeMetrics metrics = new NodeMetrics();
    PipelineRouter router =
        new PipelineRouter(new PipelineTable(), new PipelineHealth(), new PrefixIndex());
    ModelCallService service =
        new ModelCallService(
            null, new CallControls(null, null, null, router, null), null, null, metrics);
    service.refuseNew();
    List<Problem> problems = new ArrayList<>();
    service.submit(call(), contract(), new ModelSpec("m", "1", 2, 1, 1), sinkTo(problems));
    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(problems.get(0).retryAfterMs()).isPositive();
    assertThat(service.getRunningCount()).isZero();
    metrics.stop();
  }

  private static ModelCall call() {
    return new ModelCall("r", "w", "m", "prompt", 4, PriorityClass.BATCH, 1_000, List.of());
  }

  private static Contract contract() {
    return new Contract(
        "w", PriorityClass.BATCH, 1, 1, 100, 100, 1, null, null, 1, 1, 0, 1_000, null);
  }

  private static AnswerSink sinkTo(List<Problem> problems) {
    return new AnswerSink() {
      @Override
      public boolean onToken(int step, int tokenId, String text) {
        return false;
      }

      @Override
      public void onComplete(int promptTokens, int completionTokens, int cachedTokens) {}

      @Override
      public void onProblem(Problem problem) {
        problems.add(problem);
      }
    };
  }
}
