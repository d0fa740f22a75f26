/**
 * Detection of other processes of the same dispatcher, while one process replaces another. {@code InstanceRecord} is
 * the text that a process publishes to the others; {@code InstanceLock} owns the files. {@code SharedIdTables} has the
 * request ids that the processes claim while several run. The package starts no threads and does not depend on clients,
 * workers or dispatch decisions. It may import only the rate-limited logger of {@code
 * http}. Used by {@code feature}.
 */
package maplespread.upgrade;
