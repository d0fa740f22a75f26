/**
 * Weighs requests by their tenants' quotas at one of several dispatchers, without communication among them. Owns the
 * token buckets. Does no input or output and has no clock, threads or randomness; the caller synchronizes access. The
 * policy receives the weight with each request, and only the policy decides which requests are rejected. May import
 * only the settings of {@code policy}.
 */
package maplespread.quota;
