/**
 * Ordered partitions played in virtual time: dispatchers that freeze, die and are cut off, workers that see
 * every overlap and inversion, and what the ways that were weighed cost.
 */
package maplespread.lab.partition;
