/**
 * The one place where configuration is read, checked and given defaults: the platform's file and the operators' own. A
 * value that cannot be used is a {@link maplespread.config.ConfigException} that names its key. Results are immutable and
 * may be shared by threads. Reads files; may import the settings types of the packages that it configures.
 */
package maplespread.config;
