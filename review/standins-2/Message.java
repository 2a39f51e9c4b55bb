import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Head of an HTTP/1.1 message, and ways to read what follows it. */
record Message(String start, Map<String, String> headers) {

  /** Reads a head; returns null if the connection ends before it. */
  static Message read(InputStream input) throws IOException {
    String start = line(input);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String each = line(input); each != null && !each.isEmpty(); each = line(input)) {
      int colon = each.indexOf(':');
      headers.put(
          each.substring(0, colon).toLowerCase(Locale.ROOT), each.substring(colon + 1).strip());
    }
    return new Message(start, headers);
  }

  static String line(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  int status() {
    return Integer.parseInt(start.split(" ")[1]);
  }

  String target() {
    return start.split(" ")[1];
  }

  int length() {
    return Integer.parseInt(headers.getOrDefault("content-length", "0"));
  }
}
