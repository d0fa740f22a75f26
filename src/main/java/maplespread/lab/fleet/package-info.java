/**
 * Many dispatchers on one set of workers. {@link maplespread.lab.fleet.WorkerModel} is what a worker does,
 * with no clock of its own: the virtual fleet drives it in virtual time round the real decision module, and
 * the rig of processes ({@code lab.rig}) in real time behind sockets. Owned by the lab; nothing that serves
 * uses it.
 */
package maplespread.lab.fleet;
