#!/usr/bin/perl
# silent-proxy.pl PORT: the way to the server at 127.0.0.1:PORT, in the segments of an ordinary network. Prints its own
# port. At SIGUSR1 the connections that are open fall silent: they stay open, and nothing more comes through. Later ones
# work. Needs Perl's core modules alone.
use strict;
use warnings;
use Errno qw(EAGAIN EWOULDBLOCK EINTR);
use Fcntl qw(F_GETFL F_SETFL O_NONBLOCK);
use IO::Select;
use Socket qw(PF_INET SOCK_STREAM SOL_SOCKET SO_RCVBUF SO_LINGER IPPROTO_TCP TCP_NODELAY INADDR_LOOPBACK
    pack_sockaddr_in unpack_sockaddr_in);

my $TCP_MAXSEG = 2;         # Linux
my $SEGMENT = 1380;         # bytes: an Ethernet's, less what a tunnel takes
my $RECEIVE_BUFFER = 1;     # bytes, the system's least: a silent connection acknowledges nothing

$SIG{PIPE} = 'IGNORE';
my $target = pack_sockaddr_in($ARGV[0], INADDR_LOOPBACK);
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($listener, IPPROTO_TCP, $TCP_MAXSEG, pack('i', $SEGMENT)) or die "TCP_MAXSEG: $!";
setsockopt($listener, SOL_SOCKET, SO_RCVBUF, pack('i', $RECEIVE_BUFFER)) or die "SO_RCVBUF: $!";
bind($listener, pack_sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($listener, 200) or die "listen: $!";
$| = 1;
print +(unpack_sockaddr_in(getsockname($listener)))[0], "\n";

my $falls_silent = 0;
$SIG{USR1} = sub { $falls_silent = 1 };
my %silent;   # by descriptor
my %other;    # by descriptor: the socket that its bytes go to
my %waiting;  # by descriptor: bytes to be written there
my %socket;

sub quick {
    my ($s) = @_;
    setsockopt($s, IPPROTO_TCP, TCP_NODELAY, pack('i', 1));
    fcntl($s, F_SETFL, fcntl($s, F_GETFL, 0) | O_NONBLOCK);
    $socket{fileno $s} = $s;
    $waiting{fileno $s} = '';
}

sub drop {
    my ($fd, $reset) = @_;
    my $s = delete $socket{$fd} or return;
    delete $waiting{$fd};
    my $peer = delete $other{$fd};
    setsockopt($s, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0)) if $reset;
    close $s;
    drop(fileno $peer, $reset) if $peer && defined fileno $peer;
}

while (1) {
    if ($falls_silent) {
        $falls_silent = 0;
        %silent = map { $_ => 1 } keys %socket;
    }
    my @speaking = grep { !$silent{fileno $_} } values %socket;
    my $reads = IO::Select->new($listener, grep { length $waiting{fileno $other{fileno $_}} < 65536 } @speaking);
    my $writes = IO::Select->new(grep { length $waiting{fileno $_} } @speaking);
    my ($readable, $writable) = IO::Select->select($reads, $writes, undef, 0.02);
    for my $s (@{$writable || []}) {
        my $fd = fileno $s;
        next unless defined $fd && $socket{$fd};
        my $count = syswrite($s, $waiting{$fd});
        if (defined $count) { substr($waiting{$fd}, 0, $count) = '' }
        elsif ($! != EAGAIN && $! != EWOULDBLOCK && $! != EINTR) { drop($fd, 1) }
    }
    for my $s (@{$readable || []}) {
        if ($s == $listener) {
            accept(my $from, $listener) or next;
            socket(my $to, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
            if (!connect($to, $target)) { close $from; close $to; next }
            quick($from);
            quick($to);
            $other{fileno $from} = $to;
            $other{fileno $to} = $from;
            next;
        }
        my $fd = fileno $s;
        next unless defined $fd && $socket{$fd};
        my $count = sysread($s, my $bytes, 16384);
        if ($count) { $waiting{fileno $other{$fd}} .= $bytes }
        elsif (defined $count) { drop($fd, 0) }
        elsif ($! != EAGAIN && $! != EWOULDBLOCK && $! != EINTR) { drop($fd, 1) }
    }
}
