package org.gooseberryhook.load.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What targets, links, nodes and the caller do while one stream is served. The sends of the stream
 * are counted over all targets and all requests of the caller; a send without steps is sound.
 *
 * @param seed seed that the script was generated from
 * @param isResumable whether the route of the stream allows it to be resumed
 * @param tokenCount number of tokens of the whole stream
 * @param eventBytes size to which each event is filled up, in bytes; 0 if it is not
 * @param firstNode index of the node that gets the caller's first request
 * @param steps steps in any order
 */
public record StreamScript(
    long seed,
    boolean isResumable,
    int tokenCount,
    int eventBytes,
    int firstNode,
    List<ScriptStep> steps) {

  private static final int HEADER_WORDS = 10;
  private static final String RESUMABLE = "resumable";
  private static final String ONCE_ONLY = "once-only";

  /** Creates a script. */
  public StreamScript {
    steps = List.copyOf(steps);
  }

  /** Returns a script that differs in its steps only. */
  public StreamScript withSteps(List<ScriptStep> newSteps) {
    return new StreamScript(seed, isResumable, tokenCount, eventBytes, firstNode, newSteps);
  }

  /** Returns the steps of one kind of actor, with all indexes. */
  public List<ScriptStep> stepsOf(StepAction.Actor actor) {
    return steps.stream().filter(step -> step.action().actor() == actor).toList();
  }

  /** Returns the steps of one send of the stream. */
  public List<ScriptStep> stepsOfSend(int send) {
    return stepsOf(StepAction.Actor.SEND).stream().filter(step -> step.index() == send).toList();
  }

  /**
   * Returns the script as text, a first line and one line for each step; {@link #parse} reads it.
   */
  public String toText() {
    String header =
        "stream seed "
            + seed
            + " "
            + (isResumable ? RESUMABLE : ONCE_ONLY)
            + " tokens "
            + tokenCount
            + " event-bytes "
            + eventBytes
            + " node "
            + firstNode;
    return Stream.concat(Stream.of(header), steps.stream().map(ScriptStep::toText))
        .collect(Collectors.joining("\n", "", "\n"));
  }

  /**
   * Reads a script. Empty lines, and lines that begin with {@code #}, are passed over.
   *
   * @param text text that {@link #toText} returned, perhaps edited
   * @return the script
   * @throws IllegalArgumentException if the text is no script
   */
  public static StreamScript parse(String text) {
    List<String> lines =
        text.lines().map(String::trim).filter(l -> !l.isEmpty() && !l.startsWith("#")).toList();
    Optional<String> header = lines.stream().findFirst();
    String[] words = header.orElse("").split(" +");
    boolean isHeader =
        words.length == HEADER_WORDS
            && words[0].equals("stream")
            && (words[3].equals(RESUMABLE) || words[3].equals(ONCE_ONLY));
    if (!isHeader) {
      throw new IllegalArgumentException("not the first line of a script: " + header.orElse(""));
    }
    List<ScriptStep> steps = new ArrayList<>();
    lines.stream().skip(1).map(ScriptStep::parse).forEach(steps::add);
    return new StreamScript(
        Long.parseLong(words[2]),
        words[3].equals(RESUMABLE),
        Integer.parseInt(words[5]),
        Integer.parseInt(words[7]),
        Integer.parseInt(words[9]),
        steps);
  }
}
