package org.cactusseam.edge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;
import java.util.HexFormat;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.edge.WireSample;
import org.cactusseam.edge.peer.PeerCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against changes in the encoding of messages between gateways; see {@code WireFormatTest}.
 */
class GatewayWireFormatTest {

  private static final HexFormat HEX = HexFormat.of();

  static Stream<WireSample> messages() {
    return WireSample.read("gateway-messages").stream();
  }

  @ParameterizedTest
  @MethodSource("messages")
  void a_message_is_written_as_before(WireSample sample) {
    Buffer frame = GatewayMessageCodec.encode(decode(sample));

    assertThat(
        HEX.formatHex(frame.getBytes(PeerCodec.LENGTH_BYTES, frame.length())),
        is(sample.encoded()));
  }

  @Test
  void the_samples_contain_every_type() {
    Set<Class<?>> types =
        messages().map(sample -> decode(sample).getClass()).collect(Collectors.toSet());

    assertThat(types, is(Set.of(GatewayMessage.class.getPermittedSubclasses())));
  }

  private static GatewayMessage decode(WireSample sample) {
    return GatewayMessageCodec.decode(HEX.parseHex(sample.encoded())).get();
  }
}
