package org.cactusseam.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Decodes responses as RFC 9112 demands, where the library's decoder is more lenient. A response
 * that is malformed, or whose body ends with a connection that was not closed in an orderly way,
 * fails like one that was broken off: its bytes may be those of another response, or a part.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  /** Characters of a field name besides letters and digits: RFC 9110, section 5.6.2. */
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /**
   * Maximum number of interim responses before a response. Servers send one or two; without a limit
   * one that sends nothing else occupies the event loop.
   */
  private static final int MAXIMUM_INTERIM_RESPONSES = 16;

  /** Methods of the requests that have not been answered yet. */
  private final Queue<HttpMethod> methods = new ArrayDeque<>();

  private boolean isRequestUnderWay;
  private int pendingWrites;
  private int interimResponses;

  /** Whether only the end of the connection ends the body that is being decoded. */
  private boolean endsWithConnection;

  /** Set while the end of the connection waits until the request is written. */
  private @Nullable ChannelHandlerContext deferredEnd;

  /** Whether the connection has ended in an orderly way. */
  private boolean isEnded;

  ResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  void onRequestBegun(HttpMethod method) {
    methods.add(method);
    isRequestUnderWay = true;
  }

  /**
   * Called before a part of a request is written.
   *
   * @param isLast whether it is the last part
   */
  void onWriting(boolean isLast) {
    pendingWrites++;
    isRequestUnderWay &= !isLast;
  }

  void onWritten(boolean isSuccessful) throws Exception {
    pendingWrites--;
    ChannelHandlerContext context = deferredEnd;
    if (context != null && isSuccessful && isRequestWritten()) {
      deferredEnd = null;
      end(context);
    }
  }

  private boolean isRequestWritten() {
    return !isRequestUnderWay && pendingWrites == 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!VERSIONS.contains(initialLine[0]) || !STATUS.matcher(initialLine[1]).matches()) {
      throw new IllegalArgumentException(
          "malformed status line: " + initialLine[0] + " " + initialLine[1]);
    }
    return super.createMessage(initialLine);
  }

  /** Also called for trailers. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    boolean hasColon = start + length < line.length && line[start + length] == ':';
    if (length == 0 || !hasColon) {
      throw new IllegalArgumentException("field line without a name");
    }
    for (int position = start; position < start + length; position++) {
      if (!isTokenCharacter((char) (line[position] & 0xff))) {
        throw new IllegalArgumentException(
            String.format("byte 0x%02x in the name of a field", line[position]));
      }
    }
    return super.splitHeaderName(line, start, length);
  }

  private static boolean isTokenCharacter(char character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || TOKEN_SYMBOLS.indexOf(character) >= 0;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("a response with both a length and chunks");
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    HttpMethod method = isFinal ? methods.poll() : methods.peek();
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
      throws Exception {
    int decoded = out.size();
    super.decode(context, bytes, out);
    out.subList(decoded, out.size()).forEach(this::onDecoded);
  }

  private void onDecoded(Object decoded) {
    if (decoded instanceof HttpResponse response) {
      checkCoding(response);
      countInterim(response);
      endsWithConnection =
          !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }
    if (decoded instanceof LastHttpContent) {
      endsWithConnection = false;
    }
  }

  private void countInterim(HttpResponse response) {
    boolean isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    interimResponses = isInterim ? interimResponses + 1 : 0;
    if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
      response.setDecoderResult(
          DecoderResult.failure(new IllegalArgumentException("interim responses without end")));
    }
  }

  /** Bytes in a coding that is not asked for are not the body of the server. */
  private static void checkCoding(HttpResponse response) {
    List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isKnown =
        codings.isEmpty()
            || (codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst())
                && response.protocolVersion().equals(HttpVersion.HTTP_1_1));
    if (!isKnown && response.decoderResult().isSuccess()) {
      response.setDecoderResult(
          DecoderResult.failure(
              new IllegalArgumentException("unknown transfer coding: " + codings)));
    }
  }

  /**
   * Ends the connection when the server has closed its side. A server that closes while it has
   * unread bytes of the request resets the connection afterwards, perhaps in the middle of its
   * answer; so a body that ends with the connection is complete only if the request is written.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      super.userEventTriggered(context, event);
    } else if (endsWithConnection && !isRequestWritten()) {
      deferredEnd = context;
    } else {
      end(context);
    }
  }

  private void end(ChannelHandlerContext context) throws Exception {
    isEnded = true;
    super.userEventTriggered(context, ChannelInputShutdownEvent.INSTANCE);
    // Nothing is sent after the server has closed; without half closure, this happens at once.
    context.close();
  }

  /**
   * Ends a body that ends with its connection, but only after an orderly end. A reset, also one
   * that is noticed in a write and reaches this decoder as a mere close, leaves it incomplete.
   */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
      throws Exception {
    super.decodeLast(context, bytes, out);
    if (!isEnded) {
      out.removeIf(LastHttpContent.class::isInstance);
    }
  }
}
