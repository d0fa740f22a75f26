/**
 * The stand-in registry: one store with revisions and leases, members that speak etcd's JSON gateway and
 * Consul's HTTP API on loopback, and faults by seed. It follows the published behaviour; docs/registry.md
 * lists what it leaves out.
 */
package maplespread.lab.registry;
