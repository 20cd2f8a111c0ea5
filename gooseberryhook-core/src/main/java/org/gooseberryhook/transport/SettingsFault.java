package org.gooseberryhook.transport;

/**
 * A fault in a settings file.
 *
 * @param file name of the file
 * @param line line of the fault, from 1; 0 if it is not known
 * @param key path of the key, for example {@code node.place}; empty if the fault concerns the whole
 *     file
 * @param problem what is wrong
 * @param remedy what the operator can do
 * @since 0.1
 */
public record SettingsFault(String file, int line, String key, String problem, String remedy) {

  /**
   * Returns one line of text for the operator.
   *
   * @return the text, never null
   */
  public String toText() {
    String location = line > 0 ? file + ":" + line : file;
    String prefix = key.isEmpty() ? "" : key + ": ";
    return location + ": " + prefix + problem + ". " + remedy;
  }
}
