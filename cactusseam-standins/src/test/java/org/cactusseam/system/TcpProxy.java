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

/** Forwards TCP connections to a port, and cuts them when a test says so. */
final class TcpProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final int target;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean used;
  private final Gate gate = new Gate();

  TcpProxy(int target) {
    this.target = target;
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

  /** Closes all connections and every later one at once. */
  void cut() {
    cut = true;
    open.forEach(TcpProxy::closeQuietly);
  }

  /** Holds back all bytes without closing anything, as a link does that drops packets. */
  void stall() {
    gate.close();
  }

  /** Forwards again, after {@link #stall} also what was held back. */
  void restore() {
    cut = false;
    gate.open();
  }

  /** Returns whether a connection was forwarded at any time. */
  boolean wasUsed() {
    return used;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket incoming = server.accept();
        open.add(incoming);
        if (cut) {
          closeQuietly(incoming);
        } else {
          connect(incoming);
          used = true;
        }
      } catch (IOException e) {
        // The relay was closed, or the target refuses; the caller sees a closed connection.
      }
    }
  }

  private void connect(Socket incoming) throws IOException {
    try {
      Socket outgoing = new Socket(InetAddress.getLoopbackAddress(), target);
      open.add(outgoing);
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
      // One side closed; the other is closed below.
    } finally {
      closeQuietly(from);
      closeQuietly(to);
      open.remove(from);
      open.remove(to);
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

  /** Makes threads wait while it is closed. */
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
