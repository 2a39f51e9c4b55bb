import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1. */
final class Wire {

  private static final int MAX_LINE_BYTES = 64 << 10;

  private Wire() {}

  /** First line and headers of a message. Header names are not case-sensitive. */
  record Head(String line, Map<String, String> headers) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    /** Returns the second word of the line: the target of a request, or the status of an answer. */
    String second() {
      String[] words = line.split(" ", 3);
      return words.length > 1 ? words[1] : "";
    }
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head. Fails with {@link EOFException} if the connection ends before. */
  static Head readHead(InputStream input) throws IOException {
    String line = readLine(input);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = readLine(input); !header.isEmpty(); header = readLine(input)) {
      int colon = header.indexOf(':');
      if (colon > 0) {
        headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
      }
    }
    return new Head(line, headers);
  }

  static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended within a line");
      }
      if (line.size() > MAX_LINE_BYTES) {
        throw new IOException("a line is too long");
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads the body that follows a head. Fails with {@link EOFException} if it breaks off. */
  static byte[] readBody(InputStream input, Head head) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        byte[] chunk = readChunk(input);
        if (chunk.length == 0) {
          return body.toByteArray();
        }
        body.write(chunk);
      }
    }
    String length = head.header("Content-Length");
    return length.isEmpty() ? new byte[0] : readFully(input, Integer.parseInt(length));
  }

  /** Reads a chunk, empty at the end of the body. */
  static byte[] readChunk(InputStream input) throws IOException {
    int length = Integer.parseInt(readLine(input).split(";", 2)[0].strip(), 16);
    byte[] chunk = readFully(input, length);
    readLine(input);
    return chunk;
  }

  private static byte[] readFully(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }
}
