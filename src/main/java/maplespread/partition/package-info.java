/**
 * Ordered partitions: rules that map a job's attributes to a part of the workers and an order, who of the
 * fleet may send for a key, and what waits for its turn. Owns the table, the map of slots, the fence and the
 * lines of keys, and who of the fleet is heard. No sockets, files, clock or threads: time is passed in. Calls
 * only the family of errors and the module's hash. {@code partition.client} puts it to work.
 */
package maplespread.partition;
