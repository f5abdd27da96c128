/**
 * The settings file of a process, which is validated in full before anything else happens.
 *
 * <p>Start with {@link io.hingehoist.config.SettingsFile}. The sections and their ranges are
 * generated from the schema, see {@link io.hingehoist.settings.NodeSection}.
 */
package io.hingehoist.config;
