package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.gooseberryhook.state.NodeId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes messages between nodes. A message is the MessagePack array {@code [sender
 * address, sender incarnation, sender sequence, type name, payload array]}. Records are arrays
 * without field names; additional elements at the end are ignored, so that a newer version may add
 * components. Thread-safe.
 *
 * @since 0.1
 */
public final class PeerCodec {

  /** Maximum length of an encoded message in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  private final Map<String, Class<? extends PeerMessage>> typesByName = new HashMap<>();
  private final ObjectMapper mapper = newMapper(new MessagePackFactory());

  /**
   * Creates a codec for all message records that {@link PeerMessage} permits.
   *
   * @throws IllegalStateException if two messages have the same simple name
   */
  public PeerCodec() {
    register(PeerMessage.class);
  }

  /**
   * Result of decoding.
   *
   * @since 0.1
   */
  public sealed interface Decoded {

    /**
     * A well-formed message.
     *
     * @param sender the node run that sent the message
     * @param sequence number that the sender gave the message
     * @param message the message
     * @since 0.1
     */
    record Received(NodeId sender, long sequence, PeerMessage message) implements Decoded {}

    /**
     * Bytes that are not a valid message.
     *
     * @param kind kind of the fault
     * @param detail description of the fault for logs
     * @since 0.1
     */
    record Malformed(FrameError kind, String detail) implements Decoded {}
  }

  /** Kind of fault in a frame. */
  public enum FrameError {
    /** The length is not between 1 and {@link #MAX_FRAME_BYTES}. */
    LENGTH,
    /** The bytes are not exactly one MessagePack value. */
    NOT_MESSAGE_PACK,
    /**
     * An element before the payload is missing or has the wrong type, or the payload is no array.
     */
    ENVELOPE,
    /** The type name is not that of a message. */
    UNKNOWN_TYPE,
    /** The payload cannot be read as the record that the type name denotes. */
    PAYLOAD
  }

  /**
   * Encodes a message.
   *
   * @param sender this node
   * @param sequence number that this node gives the message
   * @param message the message
   * @return the bytes, without a length prefix
   * @throws IllegalArgumentException if the message cannot be encoded or is longer than {@link
   *     #MAX_FRAME_BYTES}
   */
  public byte[] encode(NodeId sender, long sequence, PeerMessage message) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    try (JsonGenerator generator = mapper.createGenerator(out)) {
      generator.writeStartArray();
      generator.writeString(sender.address());
      generator.writeNumber(sender.incarnation());
      generator.writeNumber(sequence);
      generator.writeString(message.getClass().getSimpleName());
      mapper.writeValue(generator, message);
      generator.writeEndArray();
    } catch (IOException e) {
      throw new IllegalArgumentException("cannot encode " + message.getClass().getSimpleName(), e);
    }
    if (out.size() > MAX_FRAME_BYTES) {
      throw new IllegalArgumentException(
          message.getClass().getSimpleName()
              + " has "
              + out.size()
              + " bytes; split it into messages of at most "
              + MAX_FRAME_BYTES);
    }
    return out.toByteArray();
  }

  /**
   * Decodes a message. Never throws on malformed bytes.
   *
   * @param frame the bytes, without a length prefix
   * @return the message or the fault
   */
  public Decoded decode(byte[] frame) {
    if (frame.length == 0 || frame.length > MAX_FRAME_BYTES) {
      return new Decoded.Malformed(FrameError.LENGTH, "frame of " + frame.length + " bytes");
    }
    if (!isOneValue(frame)) {
      return new Decoded.Malformed(
          FrameError.NOT_MESSAGE_PACK, "frame is not exactly one MessagePack value");
    }
    FrameError faultKind = FrameError.ENVELOPE;
    try (JsonParser parser = mapper.createParser(frame)) {
      requireToken(parser, JsonToken.START_ARRAY);
      requireToken(parser, JsonToken.VALUE_STRING);
      String address = parser.getText();
      requireToken(parser, JsonToken.VALUE_NUMBER_INT);
      long incarnation = parser.getLongValue();
      requireToken(parser, JsonToken.VALUE_NUMBER_INT);
      long sequence = parser.getLongValue();
      requireToken(parser, JsonToken.VALUE_STRING);
      Class<? extends PeerMessage> type = typesByName.get(parser.getText());
      if (type == null) {
        return new Decoded.Malformed(FrameError.UNKNOWN_TYPE, "type " + parser.getText());
      }
      requireToken(parser, JsonToken.START_ARRAY);
      faultKind = FrameError.PAYLOAD;
      PeerMessage message = mapper.readValue(parser, type);
      return new Decoded.Received(NodeId.of(address, incarnation), sequence, message);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed(faultKind, String.valueOf(e.getMessage()));
    }
  }

  /**
   * Returns whether the frame is exactly one MessagePack value, without storing the value. This
   * check must reject a string or array whose stated length exceeds the frame, because the parser
   * would allocate the stated length at once.
   */
  private static boolean isOneValue(byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      unpacker.skipValue();
      return unpacker.getTotalReadBytes() == frame.length;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  private static void requireToken(JsonParser parser, JsonToken expected) throws IOException {
    JsonToken found = parser.nextToken();
    if (found != expected) {
      throw new IOException("found token " + found + " where " + expected + " is expected");
    }
  }

  private void register(Class<?> type) {
    if (type.isSealed()) {
      for (Class<?> permitted : type.getPermittedSubclasses()) {
        register(permitted);
      }
      return;
    }
    Class<?> previous = typesByName.put(type.getSimpleName(), type.asSubclass(PeerMessage.class));
    if (previous != null) {
      throw new IllegalStateException(
          "messages " + previous.getName() + " and " + type.getName() + " share a simple name");
    }
  }

  private static ObjectMapper newMapper(JsonFactory factory) {
    ObjectMapper created = new ObjectMapper(factory);
    created.setAnnotationIntrospector(new ArrayShapeIntrospector());
    // Only record components are written, not derived methods such as Member.isPresent.
    created.setVisibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE);
    created.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
    created.setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);
    created.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    return created;
  }

  /** Writes every record as an array, including domain records nested in messages. */
  private static final class ArrayShapeIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonFormat.Value findFormat(Annotated annotated) {
      if (annotated instanceof AnnotatedClass && annotated.getRawType().isRecord()) {
        return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
      }
      return super.findFormat(annotated);
    }
  }
}
