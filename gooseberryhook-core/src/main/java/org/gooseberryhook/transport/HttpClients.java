package org.gooseberryhook.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Creates OkHttp clients that share one connection pool.
 *
 * <p>Each client has its own dispatcher, so that calls to one outside system never wait behind
 * calls to another. The clients never repeat a request by themselves, because a repeated write
 * could take effect twice. Redirects are not followed.
 *
 * @since 0.1
 */
public final class HttpClients {

  /** Time allowed to establish a connection. All peers are in the same region. */
  public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private static final int IDLE_CONNECTIONS = 128;
  private static final long IDLE_CONNECTION_SECONDS = 30;
  private static final int UNAVAILABLE = 503;
  private static final String RETRY_AFTER = "Retry-After";
  private static final Pattern ZERO_SECONDS = Pattern.compile("0+");
  private static final long IDLE_THREAD_SECONDS = 10;

  private final ConnectionPool pool =
      new ConnectionPool(IDLE_CONNECTIONS, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS);

  /**
   * Returns a new client.
   *
   * @param name prefix of the thread names, for example {@code table}
   * @param maxInFlight calls that run at the same time; further calls wait in the dispatcher, whose
   *     queue is not bounded, so callers must bound their calls
   * @param callTimeout time allowed for a whole call; zero for no limit, as streams need
   * @return the client, never null
   */
  public OkHttpClient newClient(String name, int maxInFlight, Duration callTimeout) {
    Dispatcher dispatcher = new Dispatcher(newExecutor(name, maxInFlight));
    dispatcher.setMaxRequests(maxInFlight);
    dispatcher.setMaxRequestsPerHost(maxInFlight);
    return new OkHttpClient.Builder()
        .dispatcher(dispatcher)
        .connectionPool(pool)
        .connectTimeout(CONNECT_TIMEOUT)
        .readTimeout(callTimeout)
        .writeTimeout(callTimeout)
        .callTimeout(callTimeout)
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor(HttpClients::markSent)
        .addNetworkInterceptor(HttpClients::suppressRetry)
        .build();
  }

  /** Closes all idle connections. */
  public void stop() {
    pool.evictAll();
  }

  private static ThreadPoolExecutor newExecutor(String name, int maxInFlight) {
    AtomicInteger count = new AtomicInteger();
    // The dispatcher admits at most maxInFlight calls; the margin covers threads that are between
    // the end of one call and the return to the pool.
    return new ThreadPoolExecutor(
        0,
        2 * maxInFlight,
        IDLE_THREAD_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        task -> {
          Thread thread = new Thread(task, name + "-http-" + count.incrementAndGet());
          thread.setDaemon(true);
          return thread;
        });
  }

  private static Response markSent(Interceptor.Chain chain) throws IOException {
    SentMark mark = chain.request().tag(SentMark.class);
    if (mark != null) {
      mark.isSent.set(true);
    }
    return chain.proceed(chain.request());
  }

  /**
   * Removes {@code Retry-After: 0} from a 503 response. OkHttp would repeat the request after such
   * a response, whatever its method.
   */
  private static Response suppressRetry(Interceptor.Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    return response.code() == UNAVAILABLE
            && ZERO_SECONDS.matcher(response.header(RETRY_AFTER, "")).matches()
        ? response.newBuilder().removeHeader(RETRY_AFTER).build()
        : response;
  }

  /**
   * Tag of a request that records whether its bytes may have reached the network. It is set before
   * the first byte is written, so an unset mark proves that the server has not seen the request.
   *
   * @since 0.1
   */
  public static final class SentMark {

    private final AtomicBoolean isSent = new AtomicBoolean();

    /**
     * Returns whether the request may have reached the server.
     *
     * @return false only if no byte of the request was written
     */
    public boolean isSent() {
      return isSent.get();
    }
  }
}
