/**
 * Weighs requests by their tenants' quotas, as one dispatcher of many can without asking the others. Owns the
 * token buckets. Does no input or output and has no clock, threads or randomness; the caller guards it. The
 * policy takes the weight with each request, and alone decides what is rejected. May import {@code policy}'s
 * settings alone.
 */
package maplespread.quota;
