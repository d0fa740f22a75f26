/**
 * The command line, on picocli: the library that gives sub-commands, help and shell completion without code
 * of our own. Reads arguments and prints; may call every other package. Only the way in may call it.
 */
package maplespread.cli;
