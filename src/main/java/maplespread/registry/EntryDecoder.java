package maplespread.registry;

import maplespread.facade.Endpoint;

/** Decodes a registry's entry to the worker's endpoint that it stands for. */
public interface EntryDecoder {
    /** The endpoint; any runtime exception: the value cannot be read, its message says why. */
    Endpoint decode(String key, String value);
}
