package org.cactusseam.model.claim;

import java.util.Arrays;
import java.util.Objects;

/**
 * Answer of a request that ran, kept for callers that send the same key again.
 *
 * @param httpStatus HTTP status
 * @param contentType value of the header {@code Content-Type}
 * @param body body; neither the record nor its users change the array
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
