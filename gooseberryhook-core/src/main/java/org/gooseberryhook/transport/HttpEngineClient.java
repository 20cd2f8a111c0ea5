package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.gooseberryhook.protocol.EngineClient;
import org.gooseberryhook.protocol.EngineErrors;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.TokenEvent;

/**
 * Engine client over HTTP. An attempt is started by a POST to the head of the pipeline, whose
 * response streams one JSON object per line.
 *
 * @since 0.1
 */
public final class HttpEngineClient implements EngineClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int HTTP_OVERLOADED = 503;

  /** Longest line of a stream; far longer than an event with the receipts of 100 stages. */
  private static final long MAX_LINE_BYTES = 64 * 1024;

  private static final int HTTP_TOO_MANY = 429;

  private final OkHttpClient client;
  private final Executor streamExecutor;

  /**
   * Creates a client.
   *
   * @param client HTTP client whose read timeout, if any, is not shorter than the stall limit
   * @param streamExecutor bounded pool; each stream occupies one thread until it ends
   */
  public HttpEngineClient(OkHttpClient client, Executor streamExecutor) {
    this.client = Objects.requireNonNull(client, "client");
    this.streamExecutor = Objects.requireNonNull(streamExecutor, "streamExecutor");
  }

  @Override
  public Attempt start(String headAddress, EngineStart start, Consumer<TokenEvent> listener) {
    byte[] body;
    try {
      body = Json.MAPPER.writeValueAsBytes(start);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the start order can't be written as JSON", e);
    }
    Request request =
        new Request.Builder()
            .url(headAddress + "/v1/chains")
            .post(RequestBody.create(body, JSON))
            .build();
    Call call = client.newCall(request);
    try {
      streamExecutor.execute(() -> read(call, start, listener));
    } catch (RejectedExecutionException e) {
      listener.accept(
          TokenEvent.ofError(start.requestId(), start.attempt(), EngineErrors.NOT_SENT, null));
    }
    return call::cancel;
  }

  private static void read(Call call, EngineStart start, Consumer<TokenEvent> listener) {
    String headTargetId = start.stages().get(0).targetId();
    try (Response response = call.execute()) {
      if (response.code() == HTTP_OVERLOADED || response.code() == HTTP_TOO_MANY) {
        listener.accept(error(start, EngineErrors.REFUSED, headTargetId));
      } else if (!response.isSuccessful()) {
        listener.accept(error(start, EngineErrors.UNREACHABLE, headTargetId));
      } else {
        readLines(response.body().source(), start, listener);
      }
    } catch (ConnectException e) {
      listener.accept(error(start, EngineErrors.NOT_SENT, headTargetId));
    } catch (IOException e) {
      listener.accept(error(start, "connection lost: " + e.getMessage(), headTargetId));
    }
  }

  private static void readLines(
      BufferedSource source, EngineStart start, Consumer<TokenEvent> listener) throws IOException {
    while (true) {
      long lineBytes = source.indexOf((byte) '\n', 0, MAX_LINE_BYTES);
      if (lineBytes < 0) {
        // The head owns the connection, so a stream without an end event means that the head died.
        listener.accept(
            error(start, "the stream ended without an end mark", start.stages().get(0).targetId()));
        return;
      }
      byte[] line = source.readByteArray(lineBytes);
      source.skip(1);
      if (line.length == 0) {
        continue;
      }
      TokenEvent event = TokenEventParser.parse(line);
      listener.accept(event);
      if (event.isEnd() || event.error() != null) {
        return;
      }
    }
  }

  private static TokenEvent error(EngineStart start, String reason, String targetId) {
    return TokenEvent.ofError(start.requestId(), start.attempt(), reason, targetId);
  }
}
