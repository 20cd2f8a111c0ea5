package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.admission.ExpectedOutput;
import org.gooseberryhook.router.fleet.ModelPipeline;

/** The fields of the log line that says how a stream ended. */
final class StreamOutcome {

  private StreamOutcome() {}

  /** Returns alternating names and values; the pipeline is the last one, if there was one. */
  static Object[] details(
      CallerRequest request,
      SendLedger ledger,
      StreamProgress progress,
      long firstMs,
      Optional<ModelPipeline> pipeline,
      Optional<ExpectedOutput> expected) {
    return new Object[] {
      "runs",
      ledger.total(),
      "events",
      progress.events(),
      "firstMs",
      firstMs,
      "gapMs",
      progress.longestGapMs(),
      "at",
      pipeline.map(last -> last.head().address()).orElse(""),
      "crossings",
      pipeline.map(ModelPipeline::dataCentreCrossings).orElse(0),
      "sentTo",
      ledger.describe(),
      "tokens",
      progress.generatedTokens(),
      "expectedTokens",
      expected.map(ExpectedOutput::meanTokens).orElse(0),
      "highTokens",
      expected.map(ExpectedOutput::highTokens).orElse(0),
      "expectedFrom",
      expected.map(e -> e.source().name()).orElse(""),
      "parts",
      request.metadata().promptParts()
    };
  }
}
