/**
 * The programs: {@link maplespread.Main} is the way in, {@link maplespread.Start} starts what it names, and {@link
 * maplespread.DispatcherServer} is one running dispatcher with its {@link maplespread.Lifecycle}. Owns the configuration in
 * force and the threads that tick, reload and shut down. May import every package but {@code lab}; only {@code Main} may
 * import {@code cli}.
 */
package maplespread;
