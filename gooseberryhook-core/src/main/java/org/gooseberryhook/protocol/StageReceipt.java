package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Confirmation by a pipeline stage that it ran its layers for one token.
 *
 * @param firstLayer first layer run
 * @param endLayer index after the last layer run
 * @param step number of the token, counted from 0 over all attempts of the request
 * @param attempt number of the attempt
 * @since 0.1
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StageReceipt(int firstLayer, int endLayer, int step, int attempt) {}
