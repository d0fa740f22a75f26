/**
 * The sockets of registries: a thread for each conversation, connections, the token's file, and the single calls
 * that the command line makes. Decides nothing: each choice is made by {@code maplespread.registry}. May import
 * that package and its protocols, {@code http}, {@code discovery}'s interfaces and the log.
 */
package maplespread.registry.client;
