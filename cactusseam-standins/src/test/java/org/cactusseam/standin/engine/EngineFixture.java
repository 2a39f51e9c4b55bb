package org.cactusseam.standin.engine;

import java.time.Clock;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.StandInFixture;

/**
 * Starts simulated engines with given settings on top of the defaults, and sends requests to them.
 */
final class EngineFixture {

  static final String PROMPT = "the plans of the loan";

  private EngineFixture() {}

  /** Starts an engine with a base step duration of 1 ms. */
  static StandInFixture start(String settings) {
    return start(settings, Clock.systemUTC());
  }

  static StandInFixture start(String settings, Clock clock) {
    var options = Json.toTree(EngineOptions.DEFAULTS);
    options.put("step_us", 1000).put("step_per_sequence_us", 10).put("restart_ms", 50);
    options.setAll(Json.parseObject(settings));
    return StandInFixture.start(
        new EngineStandIn(
            Endpoint.anyLoopback(),
            Json.toValue(options, EngineOptions.class),
            EngineFaults.NONE,
            clock));
  }

  static String body(String prompt) {
    return Json.write(Json.object().put("model", "m").put("prompt", prompt).put("stream", true));
  }

  static ServerSentEventReader open(StandInFixture fixture, String stream, int length) {
    return open(fixture, stream, length, PROMPT);
  }

  static ServerSentEventReader open(
      StandInFixture fixture, String stream, int length, String prompt) {
    return new ServerSentEventReader(
        fixture.open(
            "POST",
            "/v1/completions",
            body(prompt),
            "Cactusseam-Stream",
            stream,
            "Cactusseam-Test-Length",
            "" + length));
  }

  static ServerSentEventReader resume(StandInFixture fixture, String stream, int from) {
    return new ServerSentEventReader(
        fixture.open("GET", "/streams/" + stream + "?from=" + from, ""));
  }

  static int loadNumber(StandInFixture fixture, String name) {
    return fixture.get("/load").json().get(name).asInt();
  }
}
