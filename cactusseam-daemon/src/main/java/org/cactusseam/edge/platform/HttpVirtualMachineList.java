package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.List;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.edge.http.HttpClients;

/** Reads the list of VMs over HTTP. */
public final class HttpVirtualMachineList implements VirtualMachineList {

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int STATUS_OK = 200;

  /** Maximum length of a response. The list of 800 VMs has about 120 KB. */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final HttpClient client;
  private final URI base;
  private Buffer lastBody = Buffer.buffer();
  private List<VirtualMachine> lastVms = List.of();

  private record VmListResponse(List<VirtualMachine> vms) {}

  /**
   * Creates a client.
   *
   * @param vertx Vert.x instance
   * @param base URI of the service; only its host and port are used
   */
  public HttpVirtualMachineList(Vertx vertx, URI base) {
    this.client = HttpClients.create(vertx, new HttpClientOptions());
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
        .compose(HttpVirtualMachineList::readBody)
        .map(this::parseIfChanged);
  }

  /**
   * Parses the list, or returns the previous one if the body has not changed. The list is polled
   * every second and changes a few times an hour.
   */
  private List<VirtualMachine> parseIfChanged(Buffer body) {
    if (!body.equals(lastBody)) {
      lastVms = List.copyOf(Json.read(body.toString(), VmListResponse.class).get().vms());
      lastBody = body;
    }
    return lastVms;
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? BoundedBody.read(response, MAX_RESPONSE_BYTES)
        : Future.failedFuture("the VM list service answered with status " + response.statusCode());
  }
}
