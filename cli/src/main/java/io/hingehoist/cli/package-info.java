/**
 * The program {@code hingehoist}, for operators.
 *
 * <p>Begin with {@link io.hingehoist.cli.Main}. It talks HTTP to any entry; see docs/API.md.
 */
package io.hingehoist.cli;
