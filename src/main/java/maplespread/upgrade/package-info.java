/**
 * Two processes of one dispatcher, while one replaces the other. {@code InstanceRecord} is what a process tells the
 * others, as text; {@code InstanceLock} owns the files. No threads of its own. Knows nothing of clients, workers or
 * decisions; may import {@code http}'s rate-limited logger alone. Used by {@code feature}.
 */
package maplespread.upgrade;
