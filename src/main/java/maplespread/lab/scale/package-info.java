/**
 * Fleets of hollow members: the control code of {@code serve}, put together by {@code parts}, on real sockets
 * and real clocks, many members in one process, without a listener for clients. Measures what control costs
 * against the size of the fleet. Depends on the product; nothing of the product depends on it.
 */
package maplespread.lab.scale;
