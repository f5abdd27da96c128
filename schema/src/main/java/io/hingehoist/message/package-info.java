/**
 * The messages between hingehoist processes and the values that they contain.
 *
 * <p>Most types are generated from {@code schema/src/main/avro}; start with {@link
 * io.hingehoist.message.Message}. {@link io.hingehoist.message.Decoding} holds the methods that the
 * generated decoders share.
 */
package io.hingehoist.message;
