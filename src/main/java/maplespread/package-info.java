/**
 * The commands of the program: {@link maplespread.Main} is the entry point, {@link maplespread.Start} starts the
 * commands, and {@link maplespread.DispatcherServer} is one running dispatcher with its {@link maplespread.Lifecycle}.
 * Owns the configuration in force and the threads that run the timers, the reloads and the shutdown. May import every
 * package but {@code lab}; only {@code Main} may import {@code cli}.
 */
package maplespread;
