package org.cactusseam.system;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards TCP connections to a port of the loopback interface. Tests can cut the link or stall it.
 */
final class TcpProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final int targetPort;
  private final ServerSocket server;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean used;
  private final Gate gate = new Gate();

  TcpProxy(int targetPort) {
    this.targetPort = targetPort;
    try {
      server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Closes all connections, and each new one immediately after it is accepted. */
  void cut() {
    cut = true;
    openSockets.forEach(TcpProxy::closeQuietly);
  }

  /** Stops forwarding without closing connections, as on a link that drops packets. */
  void stall() {
    gate.close();
  }

  /** Resumes forwarding. Data that was held back by {@link #stall} is forwarded first. */
  void restore() {
    cut = false;
    gate.open();
  }

  /** Returns whether any connection has been forwarded. */
  boolean wasUsed() {
    return used;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket incoming = server.accept();
        openSockets.add(incoming);
        if (cut) {
          closeQuietly(incoming);
        } else {
          connect(incoming);
          used = true;
        }
      } catch (IOException e) {
        // The proxy was closed, or the target refused; the client sees a closed connection.
      }
    }
  }

  private void connect(Socket incoming) throws IOException {
    try {
      Socket outgoing = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      openSockets.add(outgoing);
      Thread.ofVirtual().start(() -> copy(incoming, outgoing));
      Thread.ofVirtual().start(() -> copy(outgoing, incoming));
    } catch (IOException e) {
      closeQuietly(incoming);
      throw e;
    }
  }

  private void copy(Socket from, Socket to) {
    try (InputStream input = from.getInputStream();
        OutputStream output = to.getOutputStream()) {
      byte[] bytes = new byte[BUFFER_BYTES];
      for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
        gate.pass();
        output.write(bytes, 0, count);
      }
    } catch (IOException e) {
      // One side was closed; the other is closed below.
    } finally {
      closeQuietly(from);
      closeQuietly(to);
      openSockets.remove(from);
      openSockets.remove(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    cut();
    gate.open();
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Blocks the copying threads while it is closed. */
  private static final class Gate {
    private boolean closed;

    synchronized void close() {
      closed = true;
    }

    synchronized void open() {
      closed = false;
      notifyAll();
    }

    synchronized void pass() throws IOException {
      while (closed) {
        try {
          wait();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          throw new IOException(e);
        }
      }
    }
  }
}
