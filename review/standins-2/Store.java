import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's store, with one port for each gateway so that it can reject single ones. */
final class Store {

  /** What the store does with the calls of one gateway. */
  enum Mode {
    SERVING,
    /** Answers 503: nothing was done. */
    BUSY
  }

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final Map<String, byte[]> latest = new LinkedHashMap<>();
    final Map<String, Integer> offsets = new HashMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<Integer, Mode> modes = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();

  /** Opens a port for one gateway. */
  int open() throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    int port = server.getAddress().getPort();
    server.createContext("/", exchange -> serve(port, exchange));
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.start();
    servers.add(server);
    setMode(port, Mode.SERVING);
    return port;
  }

  synchronized void setMode(int port, Mode mode) {
    modes.put(port, mode);
    notifyAll();
  }

  /** Writes a record of the operator or of a worker; a null value deletes the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    append(topic, record.array());
  }

  private void append(String name, byte[] record) {
    Topic topic = topics.computeIfAbsent(name, ignored -> new Topic());
    int offset = topic.records.size();
    topic.records.add(record);
    if (name.startsWith("keyed.")) {
      int keyEnd = 1 + (record[0] & 0xff);
      String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
      if (keyEnd == record.length) {
        topic.latest.remove(key);
      } else {
        byte[] value = new byte[record.length - keyEnd];
        System.arraycopy(record, keyEnd, value, 0, value.length);
        topic.latest.put(key, value);
        topic.offsets.put(key, offset);
      }
    }
    notifyAll();
  }

  /** Returns the contents of a topic without keys. */
  synchronized List<String> contents(String name) {
    Topic topic = topics.getOrDefault(name, new Topic());
    return topic.records.stream().map(each -> new String(each, StandardCharsets.UTF_8)).toList();
  }

  private synchronized Mode mode(int port) {
    return modes.get(port);
  }

  private void serve(int port, HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (mode(port) == Mode.BUSY) {
        answer(exchange, 503, new byte[0]);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/cactusseam/log-newest" -> answer(exchange, 200, newest(query.get("topic")));
        case "/cactusseam/log-read" -> read(port, exchange, query);
        case "/cactusseam/log-append" -> append(exchange, query, body);
        default -> answer(exchange, 404, new byte[0]);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : (text == null ? "" : text).split("&")) {
      String[] pair = part.split("=", 2);
      if (pair.length == 2) {
        values.put(pair[0], pair[1]);
      }
    }
    return values;
  }

  private synchronized byte[] newest(String name) {
    Topic topic = topics.getOrDefault(name, new Topic());
    StringBuilder entries = new StringBuilder();
    topic.latest.forEach(
        (key, value) -> {
          entries.append(entries.isEmpty() ? "" : ",");
          entries
              .append("{\"key\":\"" + key + "\",\"offset\":" + topic.offsets.get(key))
              .append(",\"data\":\"" + Base64.getEncoder().encodeToString(value) + "\"}");
        });
    return text(
        "{\"entries\":["
            + entries
            + "],\"has_more\":false,\"end_offset\":"
            + topic.records.size()
            + "}");
  }

  private void read(int port, HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    int source = Integer.parseInt(query.get("source"));
    long until =
        System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    byte[] reply;
    synchronized (this) {
      while (true) {
        Topic topic = topics.computeIfAbsent(query.get("topic"), ignored -> new Topic());
        long left = until - System.currentTimeMillis();
        if (mode(port) == Mode.BUSY) {
          reply = null;
          break;
        }
        if (topic.records.size() > source || left <= 0) {
          reply = records(topic, source);
          break;
        }
        wait(left);
      }
    }
    if (reply == null) {
      answer(exchange, 503, new byte[0]);
    } else {
      answer(exchange, 200, reply);
    }
  }

  private static byte[] records(Topic topic, int source) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream output = new DataOutputStream(bytes);
    output.writeLong(topic.records.size());
    output.writeLong(0);
    for (int i = source; i < topic.records.size(); i++) {
      output.writeInt(topic.records.get(i).length);
      output.write(topic.records.get(i));
    }
    return bytes.toByteArray();
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    String reply;
    int status = 200;
    synchronized (this) {
      Topic topic = topics.computeIfAbsent(query.get("topic"), ignored -> new Topic());
      int end = topic.records.size();
      String at = query.get("at");
      if (at != null && Integer.parseInt(at) != end) {
        status = 412;
        reply = "{\"end_offset\":" + end + "}";
      } else {
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.remaining() > 0) {
          byte[] record = new byte[records.getInt()];
          records.get(record);
          append(query.get("topic"), record);
        }
        reply = "{\"offset\":" + end + ",\"end_offset\":" + topic.records.size() + "}";
      }
    }
    answer(exchange, status, text(reply));
  }

  private static byte[] text(String content) {
    return content.getBytes(StandardCharsets.UTF_8);
  }

  private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Store-Era", "0");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }

  void close() {
    servers.forEach(server -> server.stop(0));
  }
}
