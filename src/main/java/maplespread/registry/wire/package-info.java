/**
 * The published protocols of registries as texts: requests made, answers read. etcd v3 by its JSON gateway
 * (etcd.io, "gRPC gateway" and the API reference of v3) and Consul's HTTP API (developer.hashicorp.com, "Blocking
 * queries", "KV store", "Health"). Does no input or output and has no clock or threads. May import Gson and the
 * records of {@code maplespread.registry}.
 */
package maplespread.registry.wire;
