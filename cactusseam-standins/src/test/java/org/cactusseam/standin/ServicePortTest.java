package org.cactusseam.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cactusseam.standin.ServicePort.Reason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against faults that follow each other so fast that one of them has no effect. */
class ServicePortTest {

  /** Time for a socket to be opened and closed, a few ms each. */
  private static final long SETTLED_MILLIS = 1_000;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final ServicePort port =
      new ServicePort(vertx, request -> request.response().end(), "127.0.0.1", 0);

  @AfterEach
  void close() {
    vertx.close().await();
  }

  private <T> T onLoop(Supplier<Future<T>> action) {
    Promise<T> done = Promise.promise();
    context.runOnContext(ignored -> action.get().onComplete(done));
    return done.future().await();
  }

  private void change(Runnable faults) {
    onLoop(
        () -> {
          faults.run();
          return Future.succeededFuture();
        });
  }

  private boolean refuses() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port.port()));
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private boolean refusesWhenSettled() {
    vertx.timer(SETTLED_MILLIS, TimeUnit.MILLISECONDS).await();
    return refuses();
  }

  /**
   * A caller can connect before the opening of the port is known on the event loop. On a busy
   * machine a refusal that began in this moment closed nothing, and CommonFaultsTest failed.
   */
  @Test
  void a_refusal_that_begins_while_the_port_opens_holds() {
    onLoop(port::open);
    change(() -> port.drain(Reason.REFUSAL));
    assertThat(refusesWhenSettled(), is(true));

    change(
        () -> {
          port.reopen(Reason.REFUSAL);
          port.drain(Reason.REFUSAL);
        });
    assertThat(refusesWhenSettled(), is(true));

    change(() -> port.reopen(Reason.REFUSAL));
    assertThat(refusesWhenSettled(), is(false));
  }
}
