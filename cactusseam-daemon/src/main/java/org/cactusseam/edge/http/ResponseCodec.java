package org.cactusseam.edge.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;

/** Encodes requests and decodes their responses with a {@link ResponseDecoder}. */
final class ResponseCodec
    extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {

  ResponseCodec(HttpDecoderConfig config) {
    ResponseDecoder decoder = new ResponseDecoder(config);
    init(decoder, new Encoder(decoder));
  }

  private static final class Encoder extends HttpRequestEncoder {

    private final ResponseDecoder decoder;

    Encoder(ResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.onRequestBegun(request.method());
      }
      decoder.onWriting(message instanceof LastHttpContent);
      ChannelPromise written = promise.unvoid();
      written.addListener(result -> decoder.onWritten(result.isSuccess()));
      super.write(context, message, written);
    }
  }
}
