package org.cactusseam.edge.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;

/**
 * Creates HTTP clients. Every reader of responses uses one of them, so that the question whether a
 * response is valid and complete is decided in one place, {@link ResponseDecoder}.
 */
public final class HttpClients {

  private static final String CODEC = "codec";

  private HttpClients() {}

  /**
   * Creates a client with the default size of its connection pool.
   *
   * @param vertx Vert.x instance
   * @param options options of the client
   * @return client
   */
  public static HttpClient create(Vertx vertx, HttpClientOptions options) {
    return create(vertx, options, new PoolOptions());
  }

  /**
   * Creates a client.
   *
   * @param vertx Vert.x instance
   * @param options options of the client
   * @param poolOptions options of its connection pool
   * @return client
   */
  public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions poolOptions) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(poolOptions)
        .withConnectHandler(connection -> replaceCodec(connection, options))
        .build();
  }

  /** Replaces the codec of a new connection before the first request is written. */
  private static void replaceCodec(HttpConnection connection, HttpClientOptions options) {
    ChannelPipeline pipeline =
        ((HttpClientConnectionInternal) connection).channelHandlerContext().pipeline();
    // Without it, the channel is closed in the same way after an orderly end and after a reset.
    pipeline.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(options.getMaxInitialLineLength())
            .setMaxHeaderSize(options.getMaxHeaderSize())
            .setMaxChunkSize(options.getMaxChunkSize())
            .setInitialBufferSize(options.getDecoderInitialBufferSize());
    pipeline.replace(HttpClientCodec.class, CODEC, new ResponseCodec(config));
  }
}
