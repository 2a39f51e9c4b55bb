package org.cactusseam.model.claim;

import java.util.Arrays;
import java.util.Objects;

/**
 * Response of a completed request, stored to be replayed to callers that repeat the same
 * idempotency key.
 *
 * @param httpStatus HTTP status code
 * @param contentType value of the header {@code Content-Type}
 * @param body response body; the array is not copied and must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int httpStatus, String contentType, byte[] body) {

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredResponse that
        && httpStatus == that.httpStatus
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return Objects.hash(httpStatus, contentType, Arrays.hashCode(body));
  }

  @Override
  public String toString() {
    return "StoredAnswer[" + httpStatus + ", " + contentType + ", " + body.length + " bytes]";
  }
}
