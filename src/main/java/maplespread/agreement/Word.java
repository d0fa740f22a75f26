package maplespread.agreement;

/** What one member sends another. */
public record Word(String from) { }
