package org.passhaven.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Supplier;

/** A back end on a raw socket that writes what its test gives it for each request. */
final class RawServer implements AutoCloseable {
  private static final String LENGTH_FIELD = "content-length:";
  private final ServerSocket listening;
  private final Supplier<Connection> connections;

  /** What is written on one connection. */
  interface Connection {
    /** Returns what to write for the next request. */
    Output onRequest();
  }

  /**
   * What is written for one request.
   *
   * @param closes whether the connection is closed behind it
   */
  record Output(String bytes, boolean closes) {}

  /**
   * Starts a server.
   *
   * @param connections creates the behaviour of each connection that is accepted
   */
  RawServer(Supplier<Connection> connections) throws IOException {
    this.connections = connections;
    this.listening = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  String address() {
    return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        Connection connection = connections.get();
        startThread(() -> serve(socket, connection));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void serve(Socket socket, Connection connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (readRequest(in)) {
        Output output = connection.onRequest();
        out.write(output.bytes().getBytes(StandardCharsets.UTF_8));
        out.flush();
        if (output.closes()) {
          return;
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  /** Reads a request; returns false at the end of the connection. */
  private static boolean readRequest(InputStream in) throws IOException {
    int bodyBytes = 0;
    String line = readLine(in);
    if (line.isEmpty()) {
      return false;
    }
    while (!line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH_FIELD)) {
        bodyBytes = Integer.parseInt(line.substring(LENGTH_FIELD.length()).strip());
      }
      line = readLine(in);
    }
    in.skipNBytes(bodyBytes);
    return true;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int character = in.read();
    while (character >= 0 && character != '\n') {
      line.append((char) character);
      character = in.read();
    }
    return line.toString().strip();
  }
}
