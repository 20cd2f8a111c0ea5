package org.gooseberryhook.router.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses contents of lists in the deflate format. */
final class Compression {

  private static final int BUFFER_BYTES = 8_192;

  private Compression() {}

  static byte[] compress(byte[] content) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(content);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream(content.length / 4);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Decompresses a content.
   *
   * @param compressed the compressed content
   * @param maxBytes limit on the size of the content
   * @return the content
   * @throws IOException if the bytes are no compressed content or exceed the limit
   */
  static byte[] decompress(byte[] compressed, int maxBytes) throws IOException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        out.write(buffer, 0, count);
        if (out.size() > maxBytes || (count == 0 && !inflater.finished())) {
          throw new IOException("a compressed content of a relay message is cut or too large");
        }
      }
      return out.toByteArray();
    } catch (DataFormatException e) {
      throw new IOException("a content of a relay message cannot be decompressed", e);
    } finally {
      inflater.end();
    }
  }
}
