/**
 * The operators' command line program, {@code hingehoist}.
 *
 * <p>Begin with {@link io.hingehoist.cli.Main}. It sends HTTP requests to any entry; see
 * docs/API.md.
 */
package io.hingehoist.cli;
