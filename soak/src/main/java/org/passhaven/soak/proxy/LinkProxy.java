package org.passhaven.soak.proxy;

import io.netty.channel.ChannelOption;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** A link: connections to its address are carried on to a target, as the link's state allows. */
public final class LinkProxy {
  private final Vertx vertx;
  private final SocketAddress target;
  private final BandwidthMeter outMeter;
  private final BandwidthMeter backMeter;
  private final Context context;
  private final Set<Pair> pairs = new HashSet<>();
  private NetServer server;
  private NetClient client;
  private volatile LinkState state = LinkState.SOUND;

  /** A link to the target, with the bandwidths of its two directions. */
  public LinkProxy(
      Vertx vertx, SocketAddress target, BandwidthMeter outMeter, BandwidthMeter backMeter) {
    this.vertx = vertx;
    this.target = target;
    this.outMeter = outMeter;
    this.backMeter = backMeter;
    this.context = vertx.getOrCreateContext();
  }

  /** Opens the link at an address; port 0 takes any. Tells the port. */
  public Future<Integer> listen(String host, int port) {
    return onContext(
            () -> {
              client = vertx.createNetClient();
              server = vertx.createNetServer(new NetServerOptions().setReuseAddress(true));
              return server
                  .exceptionHandler(ignored -> {})
                  .connectHandler(this::accept)
                  .listen(port, host);
            })
        .map(NetServer::actualPort);
  }

  /** Changes how the link behaves; what it held goes on when it is sound again. */
  public void set(LinkState newState) {
    state = newState;
    context.runOnContext(ignored -> List.copyOf(pairs).forEach(Pair::carry));
  }

  /** Resets all open connections. */
  public void reset() {
    context.runOnContext(ignored -> List.copyOf(pairs).forEach(Pair::reset));
  }

  /** Open connections carry nothing more, for good, not even their end; new ones work. */
  public void mute() {
    context.runOnContext(ignored -> List.copyOf(pairs).forEach(Pair::mute));
  }

  /** Resets what is open and ends the link. */
  public Future<Void> close() {
    return onContext(
        () -> {
          List.copyOf(pairs).forEach(Pair::reset);
          return Future.join(client.close(), server.close()).mapEmpty();
        });
  }

  private <T> Future<T> onContext(Supplier<Future<T>> step) {
    Promise<T> done = Promise.promise();
    context.runOnContext(
        ignored -> Future.succeededFuture().compose(none -> step.get()).onComplete(done));
    return done.future();
  }

  private void accept(NetSocket opener) {
    opener.pause();
    opener.exceptionHandler(ignored -> {});
    AtomicBoolean isGone = new AtomicBoolean();
    opener.closeHandler(ignored -> isGone.set(true));
    client
        .connect(target)
        .onSuccess(
            answerer -> {
              answerer.pause();
              answerer.exceptionHandler(ignored -> {});
              if (isGone.get()) {
                answerer.close();
                return;
              }
              pairs.add(new Pair(opener, answerer));
              opener.resume();
              answerer.resume();
            })
        // A dead port resets, also through the link.
        .onFailure(ignored -> reset(opener));
  }

  static void reset(NetSocket socket) {
    if (socket instanceof NetSocketInternal inner
        && inner.channelHandlerContext().channel().isOpen()) {
      inner.channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
    }
    socket.close();
  }

  /** The two ends of one connection. */
  private final class Pair {
    private final List<NetSocket> ends;
    private final List<Pump> pumps;
    private int closedEnds;

    Pair(NetSocket opener, NetSocket answerer) {
      ends = List.of(opener, answerer);
      Pump out = new Pump(vertx, LinkState.Direction.OUT, () -> state, outMeter, opener, answerer);
      Pump back =
          new Pump(vertx, LinkState.Direction.BACK, () -> state, backMeter, answerer, opener);
      pumps = List.of(out, back);
      carryResets(opener, out);
      carryResets(answerer, back);
      opener.closeHandler(ignored -> closed(out));
      answerer.closeHandler(ignored -> closed(back));
    }

    /** The library tells an error of a connection before its end; a usual end has none. */
    private void carryResets(NetSocket from, Pump pump) {
      from.exceptionHandler(ignored -> pump.endsByReset());
    }

    private void closed(Pump pump) {
      pump.end();
      closedEnds++;
      if (closedEnds == ends.size()) {
        pairs.remove(this);
      }
    }

    private void carry() {
      pumps.forEach(Pump::carry);
    }

    private void mute() {
      pumps.forEach(Pump::mute);
    }

    private void reset() {
      ends.forEach(LinkProxy::reset);
      pairs.remove(this);
    }
  }
}
