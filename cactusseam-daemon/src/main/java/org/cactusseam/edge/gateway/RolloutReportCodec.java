package org.cactusseam.edge.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusseam.logic.rollout.EvidenceKey;
import org.cactusseam.logic.rollout.ResponseCounts;
import org.cactusseam.logic.rollout.RolloutReport;
import org.cactusseam.logic.rollout.RolloutStage;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.logic.rollout.TimeClasses;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes reports and states of roll-outs within the messages between gateways. */
final class RolloutReportCodec {

  private RolloutReportCodec() {}

  static void write(MessagePacker packer, RolloutReport report) throws IOException {
    packer
        .packString(report.node())
        .packLong(report.startedAtMillis())
        .packString(report.service())
        .packLong(report.orderId())
        .packString(report.stage())
        .packInt(report.oldRuns())
        .packInt(report.counts().size());
    for (Map.Entry<EvidenceKey, ResponseCounts> entry : report.counts().entrySet()) {
      EvidenceKey key = entry.getKey();
      packer
          .packBoolean(key.measure() == EvidenceKey.Measure.EVENTS)
          .packString(key.route())
          .packBoolean(key.isNew())
          .packString(key.failureDomain())
          .packString(key.server());
      writeCounts(packer, entry.getValue());
    }
  }

  private static void writeCounts(MessagePacker packer, ResponseCounts counts) throws IOException {
    packer.packInt(counts.successes()).packInt(counts.failures()).packInt(counts.times().size());
    for (int count : counts.times()) {
      packer.packInt(count);
    }
  }

  static void write(MessagePacker packer, RolloutState state) throws IOException {
    packer
        .packString(state.service())
        .packLong(state.orderId())
        .packString(state.version())
        .packLong(state.deadlineMillis())
        .packString(state.stage().label())
        .packString(state.reason())
        .packInt(state.replaced().size());
    for (String version : state.replaced()) {
      packer.packString(version);
    }
  }

  static RolloutState readState(MessageUnpacker unpacker) throws IOException {
    String service = unpacker.unpackString();
    long orderId = unpacker.unpackLong();
    String version = unpacker.unpackString();
    long deadlineMillis = unpacker.unpackLong();
    String label = unpacker.unpackString();
    RolloutStage stage =
        RolloutStage.find(label).orElseThrow(() -> new IOException("unknown stage " + label));
    String reason = unpacker.unpackString();
    Set<String> replaced = new HashSet<>();
    int size = unpacker.unpackInt();
    for (int index = 0; index < size; index++) {
      replaced.add(unpacker.unpackString());
    }
    return new RolloutState(service, orderId, version, replaced, deadlineMillis, stage, reason);
  }

  static RolloutReport read(MessageUnpacker unpacker) throws IOException {
    String node = unpacker.unpackString();
    long startedAtMillis = unpacker.unpackLong();
    String service = unpacker.unpackString();
    long orderId = unpacker.unpackLong();
    String stage = unpacker.unpackString();
    int oldRuns = unpacker.unpackInt();
    int size = unpacker.unpackInt();
    Map<EvidenceKey, ResponseCounts> counts = new HashMap<>();
    for (int index = 0; index < size; index++) {
      EvidenceKey.Measure measure =
          unpacker.unpackBoolean() ? EvidenceKey.Measure.EVENTS : EvidenceKey.Measure.RESPONSE;
      EvidenceKey key =
          new EvidenceKey(
              measure,
              unpacker.unpackString(),
              unpacker.unpackBoolean(),
              unpacker.unpackString(),
              unpacker.unpackString());
      counts.put(key, readCounts(unpacker));
    }
    return new RolloutReport(node, startedAtMillis, service, orderId, stage, oldRuns, counts);
  }

  private static ResponseCounts readCounts(MessageUnpacker unpacker) throws IOException {
    int successes = unpacker.unpackInt();
    int failures = unpacker.unpackInt();
    int classes = unpacker.unpackInt();
    if (classes < 0 || classes > TimeClasses.COUNT) {
      throw new IOException("a report has " + classes + " classes of times");
    }
    List<Integer> times = new ArrayList<>();
    for (int index = 0; index < classes; index++) {
      times.add(unpacker.unpackInt());
    }
    return new ResponseCounts(successes, failures, times);
  }
}
