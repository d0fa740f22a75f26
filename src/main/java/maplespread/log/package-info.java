/**
 * Structured log lines: an event's name and its fields, as text or as JSON. Owns the form of the lines; calls
 * only tinylog and Gson. Every other package may call it, save those that do no input or output: they hand
 * their events to a sink.
 */
package maplespread.log;
