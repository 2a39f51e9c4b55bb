package org.cactusseam.edge.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.cactusseam.model.quarantine.Suspicions;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes crash reports and convictions in the messages between gateways. */
final class SuspicionsCodec {

  private SuspicionsCodec() {}

  static void write(MessagePacker packer, Suspicions suspicions) throws IOException {
    packer.packInt(suspicions.crashes().size());
    for (CrashReport report : suspicions.crashes()) {
      packer
          .packString(report.id().server().value())
          .packString(report.id().incarnation())
          .packString(report.id().reporter().value())
          .packLong(report.id().atMillis())
          .packBoolean(report.complete());
      write(packer, report.fingerprints());
      write(packer, report.cleared());
      write(packer, report.started());
    }
    packer.packInt(suspicions.convictions().size());
    for (Conviction conviction : suspicions.convictions()) {
      packer.packString(conviction.fingerprint()).packLong(conviction.untilMillis());
    }
  }

  private static void write(MessagePacker packer, Set<String> fingerprints) throws IOException {
    packer.packInt(fingerprints.size());
    for (String fingerprint : fingerprints) {
      packer.packString(fingerprint);
    }
  }

  static Suspicions read(MessageUnpacker unpacker) throws IOException {
    List<CrashReport> reports = new ArrayList<>();
    for (int left = unpacker.unpackInt(); left > 0; left--) {
      CrashId id =
          new CrashId(
              new BackendServerName(unpacker.unpackString()),
              unpacker.unpackString(),
              new NodeName(unpacker.unpackString()),
              unpacker.unpackLong());
      boolean complete = unpacker.unpackBoolean();
      Set<String> fingerprints = readFingerprints(unpacker);
      Set<String> cleared = readFingerprints(unpacker);
      Set<String> started = readFingerprints(unpacker);
      reports.add(new CrashReport(id, fingerprints, cleared, complete, started));
    }
    List<Conviction> convictions = new ArrayList<>();
    for (int left = unpacker.unpackInt(); left > 0; left--) {
      convictions.add(new Conviction(unpacker.unpackString(), unpacker.unpackLong()));
    }
    return new Suspicions(reports, convictions);
  }

  private static Set<String> readFingerprints(MessageUnpacker unpacker) throws IOException {
    Set<String> fingerprints = new HashSet<>();
    for (int left = unpacker.unpackInt(); left > 0; left--) {
      fingerprints.add(unpacker.unpackString());
    }
    return fingerprints;
  }
}
