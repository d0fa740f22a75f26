package maplespread.config;

/** The configuration cannot be used; the message names the key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    ConfigException(String key, String why) {
        super(key + ": " + why);
    }
}
