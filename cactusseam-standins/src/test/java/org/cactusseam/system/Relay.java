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
final class Relay implements AutoCloseable {

  private final int target;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Relay(int target) {
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
    open.forEach(Relay::closeQuietly);
  }

  void mend() {
    cut = false;
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
      input.transferTo(output);
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
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
