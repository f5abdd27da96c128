/**
 * The operators' command line program, {@code hingehoist}.
 *
 * <p>Start with {@link io.hingehoist.cli.Main}. It sends HTTP requests to any entry; see
 * docs/API.md.
 */
package io.hingehoist.cli;
