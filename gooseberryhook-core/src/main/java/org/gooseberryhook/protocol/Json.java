package org.gooseberryhook.protocol;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The shared JSON mapper.
 *
 * @since 0.1
 */
public final class Json {

  /** Mapper that ignores unknown fields; thread-safe. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}
}
