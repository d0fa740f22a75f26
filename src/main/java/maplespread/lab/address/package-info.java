/** Elections on a virtual network whose clocks drift, and what is wrong with them at any true instant. */
package maplespread.lab.address;
