package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Clients on raw sockets that do not behave like callers or operators, against an entry daemon that
 * is a process of its own. The clients stay connected while an ordinary request is sent.
 */
final class UncontrolledDaemonClients implements AutoCloseable {

  /** As many as ended a gateway with the heap of a deployment (section 7 of the work plan). */
  static final int CLIENTS = 60;

  /** Descriptors of the daemon, enough for all clients of a case and its own connections. */
  static final int DESCRIPTORS = 300;

  /** Below {@link #MAX_BODY_BYTES}. */
  static final int BODY_BYTES = 4_000_000;

  /** Below the limit of 64 KiB for the body of a command. */
  static final int COMMAND_BYTES = 64_000;

  private static final int MAX_BODY_BYTES = 4_194_304;
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final int HEAP_MEGABYTES = 64;

  /** The smallest VM has 258 MB for a heap of 100 MB. */
  private static final long PEAK_KILOBYTES = (258 - 100 + HEAP_MEGABYTES) * 1_024L;

  private static final long MISBEHAVIOUR_MILLIS = 4_000;

  /** A client that sends without end stops here. */
  private static final long MAX_SENT_BYTES = 32L << 20;

  private static final int ORDINARY_TRIES = 14;
  private static final int ORDINARY_TIMEOUT_MILLIS = 500;
  private static final int LARGEST_TIMEOUT_MILLIS = 10_000;
  private static final Duration SERVING_TIMEOUT = Duration.ofSeconds(30);
  private static final String ENTRY = "entry-1";
  private static final String SETTINGS =
      "limits: {body-bytes: %d, header-bytes: %d}".formatted(MAX_BODY_BYTES, MAX_HEAD_BYTES);

  /** Port of the daemon with the head of a request that it accepts. */
  enum Port {
    /** Port for callers. */
    CALLERS(SystemUnderTest.KEY, "/catalogue", BODY_BYTES),
    /** Port for operators. */
    OPERATORS(SystemUnderTest.OPERATOR_KEY, "/operator/commands", COMMAND_BYTES);

    private final String key;
    private final String path;
    private final int bodyBytes;

    Port(String key, String path, int bodyBytes) {
      this.key = key;
      this.path = path;
      this.bodyBytes = bodyBytes;
    }

    /** Returns the size of the bodies that clients send, below the limit of the port. */
    int bodyBytes() {
      return bodyBytes;
    }

    String startLine() {
      return "POST " + path + " HTTP/1.1\r\n";
    }

    String head(String headers) {
      return UncontrolledDaemonClients.head("POST", path, key, headers);
    }
  }

  /** What a client does after it has connected. It stays connected afterwards. */
  @FunctionalInterface
  interface Behaviour {
    void run(Client client) throws IOException;
  }

  /** Connection of a client. */
  record Client(Socket socket, long endNanos) {

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a text again and again, for a bounded time and number of bytes. */
    void sendRepeatedly(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
      for (long sent = 0;
          sent < MAX_SENT_BYTES && System.nanoTime() < endNanos;
          sent += bytes.length) {
        socket.getOutputStream().write(bytes);
      }
    }
  }

  private final SystemUnderTest system = new SystemUnderTest();

  UncontrolledDaemonClients() {
    system.startPlainService("app-1");
    // An engine that writes tokens as fast as it can, so that unread streams fill all buffers.
    system.startEngine("engine-1", "--step-us", "1000", "--memory-tokens", "100000000");
    system.startEntryDaemonWithLimits(ENTRY, "ost-wien", HEAP_MEGABYTES, DESCRIPTORS, SETTINGS);
    system.awaitReady(ENTRY);
    system.declareBasics(ENTRY);
    system.declarePlain(ENTRY, "app-1", "ost-wien");
    system.declareEngine(ENTRY, "engine-1", "ost-wien", 64, 64);
    awaitServing();
  }

  /** Starts the process of the daemon anew, so that a case meets no effect of another one. */
  void restart() {
    system.process(ENTRY).kill();
    system.restart(ENTRY);
    system.awaitReady(ENTRY);
    awaitServing();
  }

  private void awaitServing() {
    Eventually.await(
        "the daemon serves",
        SERVING_TIMEOUT,
        () -> call(system.port(ENTRY), get("/catalogue"), 2_000).startsWith("HTTP/1.1 200"));
  }

  private static String head(String method, String path, String key, String headers) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: salon.example\r\nAuthorization: Bearer "
        + key
        + "\r\n"
        + headers
        + "\r\n";
  }

  static String get(String path) {
    return head("GET", path, SystemUnderTest.KEY, "");
  }

  /** Returns a request for a stream that does not end while the test runs. */
  static String stream() {
    String body = "{\"model\":\"llm\",\"prompt\":\"a b c\",\"max_tokens\":1000000,\"stream\":true}";
    return head(
            "POST",
            "/v1/completions",
            SystemUnderTest.KEY,
            "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n")
        + body;
  }

  /** Lets clients misbehave, and checks the daemon while they are still connected. */
  void check(Port port, int clients, List<Behaviour> behaviours) throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      misbehave(
          port == Port.CALLERS ? system.port(ENTRY) : system.operatorPort(ENTRY),
          clients,
          behaviours,
          sockets);
      checkState();
      awaitAnswer(system.port(ENTRY), get("/catalogue"));
      String command = "{\"command\":\"show nodes\"}";
      awaitAnswer(
          system.operatorPort(ENTRY),
          Port.OPERATORS.head("Content-Length: " + command.length() + "\r\n") + command);
      checkState();
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private static void misbehave(
      int port, int clients, List<Behaviour> behaviours, List<Socket> sockets) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MISBEHAVIOUR_MILLIS);
    for (int index = 0; index < clients; index++) {
      Behaviour behaviour = behaviours.get(index % behaviours.size());
      Socket socket = new Socket("127.0.0.1", port);
      sockets.add(socket);
      Thread.startVirtualThread(
          () -> {
            try {
              behaviour.run(new Client(socket, end));
            } catch (IOException e) {
              // The daemon has closed the connection, or the test has ended.
              return;
            }
          });
    }
    // Clients end sooner than that when the operating system takes what the daemon has not read.
    Eventually.pause(Duration.ofMillis(MISBEHAVIOUR_MILLIS));
  }

  private void checkState() throws IOException {
    ChildProcess daemon = system.process(ENTRY);
    assertThat("the process is alive", daemon.isAlive(), is(true));
    Path status = Path.of("/proc", Long.toString(daemon.pid()));
    long peakKilobytes =
        Files.readAllLines(status.resolve("status")).stream()
            .filter(line -> line.startsWith("VmHWM:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElseThrow();
    assertThat("peak memory in KiB", peakKilobytes, lessThanOrEqualTo(PEAK_KILOBYTES));
    try (Stream<Path> descriptors = Files.list(status.resolve("fd"))) {
      assertThat(descriptors.count(), lessThanOrEqualTo((long) DESCRIPTORS));
    }
  }

  /** Sends a request until it is answered, as callers do that are told to retry. */
  private static void awaitAnswer(int port, String request) {
    String last = "none";
    for (int attempt = 0; attempt < ORDINARY_TRIES; attempt++) {
      last = call(port, request, ORDINARY_TIMEOUT_MILLIS);
      if (last.startsWith("HTTP/1.1 200")) {
        return;
      }
      Eventually.pause(Duration.ofMillis(100));
    }
    throw new AssertionError("an ordinary request was not answered, last: " + last);
  }

  /** Returns the head of the response, or the failure. */
  private static String call(int port, String request, int timeoutMillis) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream input = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = input.read();
        if (next < 0) {
          return "closed after: " + head;
        }
        head.append((char) next);
      }
      return head.toString();
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Sends one request whose head and body are as long as the settings allow. */
  void checkLargestRequest() throws IOException {
    String plain = Port.CALLERS.head("Content-Length: " + MAX_BODY_BYTES + "\r\n");
    // The limit applies to the headers without the request line.
    String padding = "a".repeat(MAX_HEAD_BYTES - plain.length() - "X-Pad: \r\n".length());
    String largest =
        plain.replaceFirst("\r\n\r\n", "\r\nX-Pad: " + padding + "\r\n\r\n")
            + "b".repeat(MAX_BODY_BYTES);
    assertThat(
        call(system.port(ENTRY), largest, LARGEST_TIMEOUT_MILLIS), containsString("HTTP/1.1 200"));
    checkState();
  }

  @Override
  public void close() {
    system.close();
  }
}
