package org.passhaven.soak.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports on which the nodes of a run can listen again and again. They lie below those that the
 * kernel gives to connections, so that none is taken while its node is down; a held port keeps
 * other runs on this machine away.
 */
final class PortClaim implements AutoCloseable {
  // From the first that no well-known service uses to the kernel's first own, 32768 by default.
  private static final int FIRST_PORT = 10_000;
  private static final int LAST_PORT = 32_000;
  private static final int PORTS_PER_UNIT = 100;
  private static final int BACKLOG = 1;

  private final List<ServerSocket> locks = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();

  private PortClaim() {}

  /** Claims so many ports that are free now. */
  static PortClaim of(int count) throws IOException {
    PortClaim claim = new PortClaim();
    for (int first = FIRST_PORT; first < LAST_PORT; first += PORTS_PER_UNIT) {
      if (claim.ports.size() >= count) {
        return claim;
      }
      claim.take(first);
    }
    claim.close();
    throw new IOException(
        "no " + count + " free ports on loopback from " + FIRST_PORT + " to " + LAST_PORT);
  }

  /** The claimed ports; at least as many as asked for. */
  List<Integer> ports() {
    return List.copyOf(ports);
  }

  private void take(int first) {
    ServerSocket lock = open(first);
    if (lock == null) {
      return;
    }
    List<Integer> free = new ArrayList<>();
    for (int port = first + 1; port < first + PORTS_PER_UNIT; port++) {
      ServerSocket probe = open(port);
      if (probe != null) {
        close(probe);
        free.add(port);
      }
    }
    locks.add(lock);
    ports.addAll(free);
  }

  private static ServerSocket open(int port) {
    try {
      return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      return null;
    }
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("a port can't be given back", e);
    }
  }

  @Override
  public void close() {
    locks.forEach(PortClaim::close);
  }
}
