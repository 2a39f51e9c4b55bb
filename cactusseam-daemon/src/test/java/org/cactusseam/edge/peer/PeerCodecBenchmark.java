package org.cactusseam.edge.peer;

import org.cactusseam.model.message.PeerMessage;

/** Prints bytes and processor time of each kind of message between entry daemons. */
final class PeerCodecBenchmark {

  private static final int WARM_UP = 20_000;
  private static final int ROUNDS = 50_000;

  private PeerCodecBenchmark() {}

  public static void main(String[] arguments) {
    System.out.printf("%-20s %6s %12s %12s%n", "message", "bytes", "encode_ns", "decode_ns");
    PeerCodecTest.messages().forEach(PeerCodecBenchmark::measure);
  }

  private static void measure(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message).getBytes();
    byte[] value = java.util.Arrays.copyOfRange(frame, PeerCodec.LENGTH_BYTES, frame.length);
    encode(message, WARM_UP);
    decode(value, WARM_UP);
    System.out.printf(
        "%-20s %6d %12d %12d%n",
        message.getClass().getSimpleName(),
        frame.length,
        encode(message, ROUNDS),
        decode(value, ROUNDS));
  }

  private static long encode(PeerMessage message, int rounds) {
    long start = System.nanoTime();
    long bytes = 0;
    for (int round = 0; round < rounds; round++) {
      bytes += PeerCodec.encode(message).length();
    }
    return bytes == 0 ? 0 : (System.nanoTime() - start) / rounds;
  }

  private static long decode(byte[] value, int rounds) {
    long start = System.nanoTime();
    long decoded = 0;
    for (int round = 0; round < rounds; round++) {
      decoded += PeerCodec.decode(value).isSuccess() ? 1 : 0;
    }
    return decoded == 0 ? 0 : (System.nanoTime() - start) / rounds;
  }
}
