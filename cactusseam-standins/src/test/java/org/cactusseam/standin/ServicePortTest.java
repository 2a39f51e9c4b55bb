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

/** Verifies that faults take effect even if they follow each other in quick succession. */
class ServicePortTest {

  /** Time after which opening and closing of a socket has completed; each takes a few ms. */
  private static final long SETTLING_TIME_MS = 1_000;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final ServicePort port =
      new ServicePort(vertx, request -> request.response().end(), "127.0.0.1", 0);

  @AfterEach
  void close() {
    vertx.close().await();
  }

  private <T> T runOnEventLoop(Supplier<Future<T>> action) {
    Promise<T> done = Promise.promise();
    context.runOnContext(ignored -> action.get().onComplete(done));
    return done.future().await();
  }

  private void changeFaults(Runnable faults) {
    runOnEventLoop(
        () -> {
          faults.run();
          return Future.succeededFuture();
        });
  }

  private boolean refusesConnections() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port.port()));
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private boolean refusesConnectionsWhenSettled() {
    vertx.timer(SETTLING_TIME_MS, TimeUnit.MILLISECONDS).await();
    return refusesConnections();
  }

  /**
   * A client can connect before the event loop has processed the opening of the port. On a busy
   * machine, a refusal that began in this interval closed no socket, which made {@code
   * CommonFaultsTest} fail.
   */
  @Test
  void a_refusal_that_begins_while_the_port_opens_holds() {
    runOnEventLoop(port::open);
    changeFaults(() -> port.drain(Reason.REFUSAL));
    assertThat(refusesConnectionsWhenSettled(), is(true));

    changeFaults(
        () -> {
          port.reopen(Reason.REFUSAL);
          port.drain(Reason.REFUSAL);
        });
    assertThat(refusesConnectionsWhenSettled(), is(true));

    changeFaults(() -> port.reopen(Reason.REFUSAL));
    assertThat(refusesConnectionsWhenSettled(), is(false));
  }
}
