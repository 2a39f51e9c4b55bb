package org.cactusseam.standin.plain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cactusseam.standin.Json;

/**
 * Counts executions by idempotency key, so that tests can detect a request that ran more than once.
 * The counts represent the external effects of the service, so a crash does not reset them.
 */
final class ExecutionCounter {

  private final Map<String, Integer> byKey = new TreeMap<>();
  private int withoutKey;
  private int total;

  /** Counts an execution and returns its sequence number over all keys, starting at 1. */
  int add(Optional<String> key) {
    total++;
    if (key.isPresent()) {
      byKey.merge(key.get(), 1, Integer::sum);
    } else {
      withoutKey++;
    }
    return total;
  }

  ObjectNode report() {
    ObjectNode report = Json.object().put("total", total).put("without_key", withoutKey);
    ObjectNode executions = report.putObject("executions");
    byKey.forEach(executions::put);
    return report;
  }
}
