/**
 * The messages between hingehoist processes and the values they are made of.
 *
 * <p>Most types are generated from {@code schema/src/main/avro}; begin with {@link
 * io.hingehoist.message.Message}. {@link io.hingehoist.message.Decoding} holds what the generated
 * decoders share.
 */
package io.hingehoist.message;
