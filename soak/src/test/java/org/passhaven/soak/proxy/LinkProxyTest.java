package org.passhaven.soak.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkProxyTest {
  private static final String HOST = "127.0.0.1";
  private static final int SHORT_MILLIS = 300;
  private static final int LONG_MILLIS = 10_000;

  private final Vertx vertx = Vertx.vertx();
  private ServerSocket listener;
  private LinkProxy proxy;
  private LinkProxy slowProxy;
  private Socket opener;
  private Socket answerer;

  @BeforeEach
  void open() throws Exception {
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    SocketAddress target = SocketAddress.inetSocketAddress(listener.getLocalPort(), HOST);
    proxy = new LinkProxy(vertx, target, BandwidthMeter.unlimited(), BandwidthMeter.unlimited());
    // 8 Mbit/s is a megabyte a second.
    slowProxy =
        new LinkProxy(vertx, target, BandwidthMeter.unlimited(), BandwidthMeter.ofMegabits(8));
    opener = new Socket(InetAddress.getLoopbackAddress(), await(proxy.listen(HOST, 0)));
    answerer = listener.accept();
    opener.setSoTimeout(LONG_MILLIS);
    answerer.setSoTimeout(LONG_MILLIS);
  }

  @AfterEach
  void close() throws Exception {
    opener.close();
    answerer.close();
    listener.close();
    await(proxy.close());
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(LONG_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static void assertNothing(Socket socket) throws IOException {
    socket.setSoTimeout(SHORT_MILLIS);
    try {
      assertThat("a byte came: " + socket.getInputStream().read(), false);
    } catch (SocketTimeoutException e) {
      // As it should.
    }
    socket.setSoTimeout(LONG_MILLIS);
  }

  @Test
  void carriesBothWaysAndTheEnd() throws Exception {
    opener.getOutputStream().write(1);
    assertThat(answerer.getInputStream().read(), equalTo(1));
    answerer.getOutputStream().write(2);
    assertThat(opener.getInputStream().read(), equalTo(2));
    answerer.close();
    assertThat(opener.getInputStream().read(), equalTo(-1));
  }

  @Test
  void delaysWhatPasses() throws Exception {
    proxy.set(LinkState.delayed(SHORT_MILLIS));
    long beganNanos = System.nanoTime();
    opener.getOutputStream().write(1);
    assertThat(answerer.getInputStream().read(), equalTo(1));
    assertThat(millisSince(beganNanos), greaterThanOrEqualTo(SHORT_MILLIS - 1L));
  }

  @Test
  void holdsOneWayOnlyAndLetsItGoLater() throws Exception {
    proxy.set(new LinkState(0, true, false));
    answerer.getOutputStream().write(2);
    assertThat(opener.getInputStream().read(), equalTo(2));
    opener.getOutputStream().write(1);
    assertNothing(answerer);
    proxy.set(LinkState.SOUND);
    assertThat(answerer.getInputStream().read(), equalTo(1));
  }

  @Test
  void silenceHoldsBothWaysAndAlsoTheEnd() throws Exception {
    proxy.set(new LinkState(0, true, true));
    opener.getOutputStream().write(1);
    answerer.getOutputStream().write(2);
    assertNothing(answerer);
    answerer.close();
    assertNothing(opener);
    proxy.set(LinkState.SOUND);
    assertThat(opener.getInputStream().read(), equalTo(2));
    assertThat(opener.getInputStream().read(), equalTo(-1));
  }

  @Test
  void resetsOpenConnectionsAndTakesNewOnes() throws Exception {
    opener.getOutputStream().write(1);
    assertThat(answerer.getInputStream().read(), equalTo(1));
    proxy.reset();
    assertThat(isReset(opener), equalTo(true));
    assertThat(isReset(answerer), equalTo(true));
  }

  @Test
  void carriesAResetBehindWhatWasSentBeforeIt() throws Exception {
    answerer.getOutputStream().write(2);
    assertThat(opener.getInputStream().read(), equalTo(2));
    answerer.setSoLinger(true, 0);
    answerer.close();
    assertThat(isReset(opener), equalTo(true));
  }

  @Test
  void openConnectionsGoSilentForGoodAndNewOnesWork() throws Exception {
    opener.getOutputStream().write(1);
    assertThat(answerer.getInputStream().read(), equalTo(1));
    proxy.mute();
    Thread.sleep(SHORT_MILLIS);
    opener.getOutputStream().write(2);
    answerer.getOutputStream().write(3);
    assertNothing(answerer);
    assertNothing(opener);
    answerer.close();
    assertNothing(opener);
    try (Socket newOpener = new Socket(InetAddress.getLoopbackAddress(), opener.getPort());
        Socket newAnswerer = listener.accept()) {
      newOpener.getOutputStream().write(4);
      assertThat(newAnswerer.getInputStream().read(), equalTo(4));
    }
  }

  @Test
  void keepsTheBandwidthAndEveryByte() throws Exception {
    byte[] bytes = new byte[500_000];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) ((i * 31) >> 3);
    }
    try (Socket reader =
            new Socket(InetAddress.getLoopbackAddress(), await(slowProxy.listen(HOST, 0)));
        Socket writer = listener.accept()) {
      reader.setSoTimeout(LONG_MILLIS);
      long beganNanos = System.nanoTime();
      Thread sending = new Thread(() -> write(writer, bytes), "sending");
      sending.start();
      assertThat(reader.getInputStream().readNBytes(bytes.length), equalTo(bytes));
      assertThat(millisSince(beganNanos), greaterThanOrEqualTo(490L));
      sending.join();
    }
  }

  private static void write(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean isReset(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    try {
      in.read();
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  private static long millisSince(long beganNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
  }
}
