import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A connection of a client to a gateway. */
final class Caller implements AutoCloseable {

  static final String KEY = "xd9dnn2ctnfzs989anu6";

  private final Socket socket = new Socket();

  /**
   * What a client has received.
   *
   * @param status status, 0 without an answer
   * @param end how the answer ended
   */
  record Answer(int status, Wire.Head head, String body, End end) {

    @Override
    public String toString() {
      return end + (status > 0 ? ", status " + status + ", " + body.length() + " bytes" : "");
    }
  }

  /** How an answer ended. */
  enum End {
    WHOLE,
    CLOSED,
    SILENT
  }

  Caller(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
  }

  Socket socket() {
    return socket;
  }

  static String head(String method, String path, String attempt, int deadlineMillis, String more) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
        + attempt
        + "\r\nDeadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Bearer "
        + KEY
        + "\r\n"
        + more
        + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(Wire.ascii(text));
    socket.getOutputStream().flush();
  }

  /** Reads an answer for a limited time. */
  Answer read(long waitMillis) {
    Wire.Head head = null;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      socket.setSoTimeout((int) waitMillis);
      InputStream input = socket.getInputStream();
      head = Wire.readHead(input);
      if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        for (byte[] chunk = Wire.readChunk(input); chunk.length > 0; ) {
          body.write(chunk);
          chunk = Wire.readChunk(input);
        }
      } else {
        body.write(Wire.readBody(input, head));
      }
      return answer(head, body, End.WHOLE);
    } catch (SocketTimeoutException e) {
      return answer(head, body, End.SILENT);
    } catch (EOFException e) {
      return answer(head, body, End.CLOSED);
    } catch (IOException e) {
      return answer(head, body, End.CLOSED);
    }
  }

  private static Answer answer(Wire.Head head, ByteArrayOutputStream body, End end) {
    int status = head == null ? 0 : Integer.parseInt(head.second());
    return new Answer(status, head, body.toString(StandardCharsets.ISO_8859_1), end);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
