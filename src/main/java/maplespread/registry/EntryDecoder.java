package maplespread.registry;

import maplespread.facade.Endpoint;

/** Makes a route of a key and its text. */
public interface EntryDecoder {
    /** Any runtime exception: the value cannot be read; its message says why. */
    Endpoint decode(String key, String text);
}
