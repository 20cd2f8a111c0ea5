package org.gooseberryhook.router.node;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.gooseberryhook.router.forward.ForwardFacts;
import org.gooseberryhook.router.forward.ReplyFacts;
import org.gooseberryhook.router.forward.RequestDialect;
import org.gooseberryhook.router.forward.RequestFacts;

/** Request dialect of the tests, with short header names. */
public final class TestDialect implements RequestDialect {

  @Override
  public RequestFacts readRequest(HttpHeaders headers) {
    String deadline = headers.get("deadline");
    return new RequestFacts(
        headers.get("attempt", ""),
        Optional.ofNullable(headers.get("key")),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        OptionalInt.of(100),
        OptionalInt.of(30),
        OptionalInt.of(30),
        Optional.ofNullable(headers.get("last-event-id")));
  }

  @Override
  public void removeReserved(HttpHeaders headers) {
    headers.remove("key").remove("workspace").remove("path").remove("deadline");
  }

  @Override
  public void writeForward(HttpHeaders headers, ForwardFacts facts) {
    headers.set("target", facts.targetId());
    headers.set("deadline", Long.toString(facts.deadlineMs()));
    headers.set("rank", facts.rank());
    facts.workspace().ifPresent(w -> headers.set("workspace", w));
    facts.pipeline().ifPresent(p -> headers.set("path", p.describe()));
    facts.lastEventId().ifPresent(id -> headers.set("last-event-id", id));
  }

  @Override
  public ReplyFacts readReply(int status, HttpHeaders headers) {
    return new ReplyFacts(
        Optional.ofNullable(headers.get("attempt")),
        headers.contains("signed"),
        headers.contains("not-run"),
        Optional.ofNullable(headers.get("fault")));
  }
}
