package org.cactusseam.edge.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Counts the bytes of a connection and stops reading from it. Pausing a request does not suffice:
 * the library goes on to read into a queue of its own, and decodes heads before a handler can
 * refuse them.
 */
final class ConnectionMeter extends ChannelDuplexHandler {

  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 2 << 10;

  /**
   * Bytes that one read takes. Requests that follow each other in one read are decoded together,
   * and one connection with small chunks must not keep the event loop from the others.
   */
  private static final int MAX_READ_BYTES = 16 << 10;

  /** Decides whether bytes that have been read are decoded. */
  @FunctionalInterface
  interface Admission {

    /** Returns what is done with the bytes that have been read. */
    Decision admit();
  }

  /** What is done with bytes that have been read. */
  enum Decision {
    /** They are decoded at once. */
    DECODE,
    /** They are kept until the owner of the admission calls {@link ConnectionMeter#release}. */
    KEEP,
    /** They are dropped, because the connection is closed. */
    DISCARD
  }

  private Admission admission = () -> Decision.DECODE;
  private Object admissionOwner = this;
  private final Set<Object> holders = Collections.newSetFromMap(new IdentityHashMap<>(2));
  private @Nullable ChannelHandlerContext context;
  private @Nullable Runnable writableAction;
  private @Nullable Object keptMessage;
  private long received;
  private long written;

  void setAdmission(Object owner, Admission newAdmission) {
    admissionOwner = owner;
    admission = newAdmission;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    // By default, up to 16 buffers of 64 KiB are read before a handler can stop it.
    added
        .channel()
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1));
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext removed) {
    ReferenceCountUtil.release(keptMessage);
    keptMessage = null;
  }

  @Override
  public void channelRead(ChannelHandlerContext from, Object message) {
    if (message instanceof ByteBuf bytes) {
      received += bytes.readableBytes();
      Decision decision = admission.admit();
      if (decision == Decision.KEEP) {
        keptMessage = message;
        hold(admissionOwner);
        return;
      }
      if (decision == Decision.DISCARD) {
        bytes.release();
        return;
      }
    }
    from.fireChannelRead(message);
  }

  @Override
  public void read(ChannelHandlerContext from) {
    // The library may ask to read while the connection is held.
    if (holders.isEmpty()) {
      from.read();
    }
  }

  @Override
  public void write(ChannelHandlerContext from, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf bytes) {
      written += bytes.readableBytes();
    }
    from.write(message, promise);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext from) {
    from.fireChannelWritabilityChanged();
    Runnable action = writableAction;
    if (action != null && from.channel().isWritable()) {
      writableAction = null;
      action.run();
    }
  }

  /** Stops reading from the connection, until the same owner releases it. */
  void hold(Object owner) {
    holders.add(owner);
    if (context != null) {
      context.channel().config().setAutoRead(false);
    }
  }

  /**
   * Decodes the bytes that were kept, and goes on reading from the connection, if no other owner
   * holds it.
   */
  void release(Object owner) {
    ChannelHandlerContext to = context;
    if (!holders.remove(owner) || !holders.isEmpty() || to == null || to.isRemoved()) {
      return;
    }
    // Before the bytes are decoded: the library may stop reading because of them.
    to.channel().config().setAutoRead(true);
    to.read();
    Object kept = keptMessage;
    if (kept != null) {
      keptMessage = null;
      to.fireChannelRead(kept);
      to.fireChannelReadComplete();
    }
  }

  boolean isWritable() {
    return context == null || context.channel().isWritable();
  }

  /** Runs an action once when the peer has read most of what was written. */
  void onceWritable(Runnable action) {
    writableAction = action;
  }

  /** Returns whether a request waits until the peer has read the response before it. */
  boolean isAwaitingWritable() {
    return writableAction != null;
  }

  /** Returns whether bytes wait to be decoded. */
  boolean hasKept() {
    return keptMessage != null;
  }

  /** Closes the connection without waiting for the peer to read what was written. */
  void closeNow() {
    if (context != null) {
      context.close();
    }
  }

  /** Returns the bytes that have been read from the connection. */
  long received() {
    return received;
  }

  /** Returns the bytes that the operating system has taken. */
  long sent() {
    return written - unsent();
  }

  /** Returns the bytes that wait for the peer to read. */
  long unsent() {
    if (context == null) {
      return 0;
    }
    ChannelOutboundBuffer queue = context.channel().unsafe().outboundBuffer();
    return queue == null
        ? 0
        : Math.max(0, queue.totalPendingWriteBytes() - queue.currentProgress());
  }
}
