/**
 * Stand-ins and measurements: what plays the outside systems on loopback, and the tools that measure against
 * them. Nothing outside may depend on it but the command line and tests; it may call every other package.
 */
package maplespread.lab;
