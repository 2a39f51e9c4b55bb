package org.cactusseam.edge.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cactusseam.model.ResultCode;

/**
 * Records the tokens of a relay, each as its index followed by its text, and the end: {@code whole}
 * or the name of the result code.
 */
final class RecordingSink implements GenerationRelay.Sink {
  final List<String> tokens = new ArrayList<>();
  final CompletableFuture<String> end = new CompletableFuture<>();

  @Override
  public void onToken(long index, String data) {
    tokens.add(index + data.replaceAll(".*\"text\":\"(.*?)\".*", "$1"));
  }

  @Override
  public void onCompleted(String finish, long count) {
    end.complete("whole");
  }

  @Override
  public void onLost(ResultCode code, String detail) {
    end.complete(code.name());
  }

  @Override
  public boolean isFull() {
    return false;
  }
}
