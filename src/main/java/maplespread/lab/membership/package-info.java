/**
 * The stand-in network between members: partitions, loss, delay and duplicates by seed, on a virtual clock.
 */
package maplespread.lab.membership;
