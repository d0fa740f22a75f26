package maplespread.agreement;

/** Where an agreement's words and news go. */
public interface AgreementSink {
    void send(String to, Word word);

    /** A value was decided that is later than the one known so far. */
    void learned(Value value);

    void event(boolean warning, String name, Object... pairs);
}
