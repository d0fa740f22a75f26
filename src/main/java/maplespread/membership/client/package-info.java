/** The datagram socket round the membership's core. May call the membership and the log. */
package maplespread.membership.client;
