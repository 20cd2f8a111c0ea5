/** What a client got for a request. */
final class Reply {
  /** Status of the answer, 0 if there is none. */
  int status;
  /** Whether the answer is whole. */
  boolean whole;
  boolean signed;
  String body = "";
  String retryAfter = "";
  /** Why there is no answer. */
  String failure = "";

  @Override
  public String toString() {
    return status == 0 ? "no answer (" + failure + ")"
        : status + (signed ? " from a replica" : " of the router") + (whole ? "" : ", cut")
            + (retryAfter.isEmpty() ? "" : ", Retry-After " + retryAfter)
            + (signed ? "" : " " + body);
  }
}
