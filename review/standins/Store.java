import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the platform's store: keyed topics with one partition each. */
final class Store implements AutoCloseable {

  private final ServerSocket listener;
  private final Map<String, Topic> topics = new HashMap<>();

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Integer> newest = new LinkedHashMap<>();
  }

  Store() throws IOException {
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = socket.getInputStream();
      while (true) {
        Wire.Head head = Wire.readHead(input);
        byte[] body = Wire.readBody(input, head);
        byte[] answer = answer(head.second(), body);
        socket
            .getOutputStream()
            .write(
                Wire.ascii(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + answer.length
                        + "\r\n\r\n"));
        socket.getOutputStream().write(answer);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private byte[] answer(String target, byte[] body) {
    Map<String, String> query = new HashMap<>();
    String[] parts = target.split("\\?", 2);
    if (parts.length > 1) {
      for (String pair : parts[1].split("&")) {
        String[] words = pair.split("=", 2);
        query.put(words[0], words.length > 1 ? words[1] : "");
      }
    }
    String topic = query.getOrDefault("topic", "");
    return switch (parts[0]) {
      case "/cactusseam/log-append" -> appendAll(topic, body);
      case "/cactusseam/log-newest" -> newest(topic);
      case "/cactusseam/log-read" ->
          read(
              topic,
              Integer.parseInt(query.get("source")),
              Long.parseLong(query.getOrDefault("wait_ms", "0")));
      default -> Wire.ascii("{}");
    };
  }

  /** Writes a record of a keyed topic; a value of null deletes the key. */
  synchronized void put(String topic, String key, String value) {
    ByteArrayOutputStream record = new ByteArrayOutputStream();
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    record.write(name.length);
    record.writeBytes(name);
    if (value != null) {
      record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
    }
    append(topic, record.toByteArray());
  }

  private synchronized int append(String topic, byte[] record) {
    Topic found = topics.computeIfAbsent(topic, name -> new Topic());
    String key = key(record);
    if (record.length == 1 + record[0]) {
      found.newest.remove(key);
    } else {
      found.newest.put(key, found.records.size());
    }
    found.records.add(record);
    notifyAll();
    return found.records.size();
  }

  private static String key(byte[] record) {
    return new String(record, 1, record[0] & 0xFF, StandardCharsets.UTF_8);
  }

  private synchronized byte[] appendAll(String topic, byte[] body) {
    ByteBuffer rest = ByteBuffer.wrap(body);
    int first = topics.computeIfAbsent(topic, name -> new Topic()).records.size();
    int end = first;
    while (rest.remaining() >= 4) {
      byte[] record = new byte[rest.getInt()];
      rest.get(record);
      end = append(topic, record);
    }
    return Wire.ascii("{\"offset\":" + first + ",\"end_offset\":" + end + "}");
  }

  private synchronized byte[] newest(String topic) {
    Topic found = topics.computeIfAbsent(topic, name -> new Topic());
    StringBuilder entries = new StringBuilder();
    found.newest.forEach(
        (key, offset) -> {
          byte[] record = found.records.get(offset);
          byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xFF), record.length);
          entries
              .append(entries.isEmpty() ? "" : ",")
              .append("{\"key\":\"" + key + "\",\"data\":\"")
              .append(Base64.getEncoder().encodeToString(value))
              .append("\",\"offset\":" + offset + "}");
        });
    return Wire.ascii(
        "{\"entries\":["
            + entries
            + "],\"has_more\":false,\"end_offset\":"
            + found.records.size()
            + "}");
  }

  private synchronized byte[] read(String topic, int source, long waitMillis) {
    Topic found = topics.computeIfAbsent(topic, name -> new Topic());
    long limit = System.nanoTime() + waitMillis * 1_000_000;
    while (found.records.size() <= source && System.nanoTime() < limit) {
      try {
        wait(Math.max(1, (limit - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        break;
      }
    }
    ByteArrayOutputStream answer = new ByteArrayOutputStream();
    answer.writeBytes(
        ByteBuffer.allocate(16).putLong(found.records.size()).putLong(0).array());
    for (int offset = source; offset < found.records.size(); offset++) {
      byte[] record = found.records.get(offset);
      answer.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
      answer.writeBytes(record);
    }
    return answer.toByteArray();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
