package org.passhaven.soak.run;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.proxy.BandwidthMeter;
import org.passhaven.soak.proxy.LinkProxy;

/** All links of a run, by kind and by the index of their node or back end. */
final class Links implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long OPEN_SECONDS = 10;
  private static final int LOOPS = 2;

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(LOOPS).setWorkerPoolSize(1));
  private final Map<LinkKind, Map<Integer, List<LinkProxy>>> proxies = new HashMap<>();
  private final Map<String, String> backEnds = new HashMap<>();

  /** Opens a link and tells its address. A meter limits each of its directions. */
  synchronized String open(
      LinkKind kind, int index, String target, BandwidthMeter out, BandwidthMeter back) {
    LinkProxy proxy = add(kind, index, target, out, back);
    return HOST + ":" + await(proxy.listen(HOST, 0));
  }

  /** The address to list for a back end that listens at another; does not wait. */
  synchronized String listed(String target) {
    return backEnds.computeIfAbsent(
        target,
        address -> {
          int port = freePort();
          LinkProxy proxy =
              add(
                  LinkKind.BACK_END,
                  backEnds.size(),
                  address,
                  BandwidthMeter.unlimited(),
                  BandwidthMeter.unlimited());
          proxy
              .listen(HOST, port)
              .onFailure(
                  failure -> {
                    throw new IllegalStateException("a link can't listen on " + port, failure);
                  });
          return HOST + ":" + port;
        });
  }

  /** Does something to all links of an index. */
  synchronized void each(LinkKind kind, int index, Consumer<LinkProxy> step) {
    proxies.getOrDefault(kind, Map.of()).getOrDefault(index, List.of()).forEach(step);
  }

  @Override
  public void close() {
    await(vertx.close());
  }

  private LinkProxy add(
      LinkKind kind, int index, String target, BandwidthMeter out, BandwidthMeter back) {
    int colon = target.lastIndexOf(':');
    SocketAddress address =
        SocketAddress.inetSocketAddress(
            Integer.parseInt(target.substring(colon + 1)), target.substring(0, colon));
    LinkProxy proxy = new LinkProxy(vertx, address, out, back);
    proxies
        .computeIfAbsent(kind, key -> new HashMap<>())
        .computeIfAbsent(index, key -> new ArrayList<>())
        .add(proxy);
    return proxy;
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("no free port on " + HOST, e);
    }
  }

  private static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(OPEN_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("a link can't be opened: " + e, e);
    }
  }
}
