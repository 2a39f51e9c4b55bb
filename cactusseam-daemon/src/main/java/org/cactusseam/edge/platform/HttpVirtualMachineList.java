package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.List;
import org.cactusseam.edge.Json;

/** List of VMs over HTTP. */
public final class HttpVirtualMachineList implements VirtualMachineList {

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final URI base;
  private Buffer lastBody = Buffer.buffer();
  private List<VirtualMachine> last = List.of();

  private record Answer(List<VirtualMachine> vms) {}

  /**
   * Creates an adapter.
   *
   * @param vertx event loops
   * @param base address of the service
   */
  public HttpVirtualMachineList(Vertx vertx, URI base) {
    this.client = vertx.createHttpClient();
    this.base = base;
  }

  @Override
  public Future<List<VirtualMachine>> list() {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(base.getHost())
            .setPort(base.getPort())
            .setURI("/vms")
            .setConnectTimeout(TIMEOUT_MILLIS)
            .setTimeout(TIMEOUT_MILLIS);
    return client
        .request(options)
        .compose(request -> request.send())
        .compose(HttpVirtualMachineList::body)
        .map(this::read);
  }

  /** The list is asked every second and changes a few times an hour. */
  private List<VirtualMachine> read(Buffer body) {
    if (!body.equals(lastBody)) {
      last = List.copyOf(Json.read(body.toString(), Answer.class).get().vms());
      lastBody = body;
    }
    return last;
  }

  private static Future<Buffer> body(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? response.body()
        : Future.failedFuture("the VM list answered with status " + response.statusCode());
  }
}
