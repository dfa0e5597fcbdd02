package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
)

var echo = &Message[[]byte, []byte]{Request: "test.echo", Response: "test.echo.answer", Timeout: 5 * time.Second}

func newIdentity(t *testing.T, authority *certstest.Authority, files certstest.KeyPairFiles) *Identity {
	t.Helper()
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	trusted, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(t, err)
	return &Identity{KeyPair: pair, CABundle: trusted}
}

func echoRegistry() *Registry {
	registry := NewRegistry()
	echo.Handle(registry, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	return registry
}

func listen(t *testing.T, address string, identity *Identity, registry *Registry) *Transport {
	t.Helper()
	transport, err := Listen(address, identity, registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	go transport.Serve()
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

const anyPort = "127.0.0.1:0"

// Messages of every size up to the limit must arrive unchanged, and each failure
// must reach the caller as the error kind by which it decides. Details of a
// handler's error must not leave the instance.
func TestExchange(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	registry := echoRegistry()
	failing := &Message[EmptyBody, EmptyBody]{Request: "test.fail", Response: "test.fail.answer", Timeout: time.Second}
	failing.Handle(registry, func(context.Context, EmptyBody) (EmptyBody, error) { return EmptyBody{}, errors.New("secret detail") })
	slow := &Message[EmptyBody, EmptyBody]{Request: "test.slow", Response: "test.slow.answer", Timeout: 100 * time.Millisecond}
	slow.Handle(registry, func(ctx context.Context, _ EmptyBody) (EmptyBody, error) { <-ctx.Done(); return EmptyBody{}, ctx.Err() })
	server := listen(t, anyPort, identity, registry)
	client := listen(t, anyPort, identity, NewRegistry())

	for _, size := range []int{0, 1, 1 << 20, MaxMessageBytes - 100} {
		sent := bytes.Repeat([]byte{7}, size)
		got, err := echo.Call(t.Context(), client, server.Address(), sent)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, sent))
	}
	_, err := echo.Call(t.Context(), client, server.Address(), make([]byte, MaxMessageBytes))
	assert.Equal(t, KindOf(err), KindTooLarge)

	unknown := &Message[EmptyBody, EmptyBody]{Request: "test.unknown", Response: "test.unknown.answer", Timeout: time.Second}
	_, err = unknown.Call(t.Context(), client, server.Address(), EmptyBody{})
	assert.Equal(t, KindOf(err), KindUnknownType)
	_, err = failing.Call(t.Context(), client, server.Address(), EmptyBody{})
	assert.Equal(t, KindOf(err), KindFailed)
	assert.Assert(t, !bytes.Contains([]byte(err.Error()), []byte("secret")))
	_, err = slow.Call(t.Context(), client, server.Address(), EmptyBody{})
	assert.Assert(t, KindOf(err) == KindTimeout || KindOf(err) == KindFailed, "%v", err)

	data := mustEncode(t, []any{Version + 1, "test.echo", []byte{}})
	answer, err := client.exchange(t.Context(), server.Address(), data)
	assert.NilError(t, err)
	assert.Equal(t, KindOf(decodeError("", answer)), KindUnsupportedVersion)
}

// A peer whose certificate is signed by another CA must neither get requests
// served nor have its responses accepted.
func TestPeersOfOtherCAAreRejected(t *testing.T) {
	ours, theirs := certstest.NewAuthority(t), certstest.NewAuthority(t)
	server := listen(t, anyPort, newIdentity(t, ours, ours.Issue("a")), echoRegistry())
	cases := map[string]*Identity{
		"server does not trust the client": newIdentity(t, ours, theirs.Issue("b")),
		"client does not trust the server": newIdentity(t, theirs, ours.Issue("b")),
		"neither trusts the other":         newIdentity(t, theirs, theirs.Issue("b")),
	}
	for name, identity := range cases {
		t.Run(name, func(t *testing.T) {
			client := listen(t, anyPort, identity, NewRegistry())
			_, err := echo.Call(t.Context(), client, server.Address(), nil)
			assert.Equal(t, KindOf(err), KindUnreachable, "%v", err)
		})
	}
}

// After an instance is killed and restarted at the same address, a client with an
// open connection must reach the new process at once. Without a stateless reset it
// would send into the old connection until it times out.
func TestRestartedPeerIsReachedWithoutTimeout(t *testing.T) {
	authority := certstest.NewAuthority(t)
	files := authority.Issue("a")
	client := listen(t, anyPort, newIdentity(t, authority, authority.Issue("b")), NewRegistry())
	first := listen(t, anyPort, newIdentity(t, authority, files), echoRegistry())
	address := first.Address()
	_, err := echo.Call(t.Context(), client, address, []byte("one"))
	assert.NilError(t, err)
	// Closing just the socket sends nothing to the client, as if the process were
	// killed.
	assert.NilError(t, first.socket.Close())
	listen(t, address, newIdentity(t, authority, files), echoRegistry())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := echo.Call(ctx, client, address, []byte("two"))
		switch {
		case err == nil:
			return poll.Success()
		case KindOf(err) == KindTimeout:
			return poll.Error(err)
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
}

// The pool must not hold more connections than its limit, and must not evict one
// that a request is using: the request would fail.
func TestPoolLimitsConnections(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	client := listen(t, anyPort, identity, NewRegistry())
	client.pool.limit = 2
	var addresses []string
	for range 4 {
		addresses = append(addresses, listen(t, anyPort, identity, echoRegistry()).Address())
	}
	for _, address := range addresses {
		_, err := echo.Call(t.Context(), client, address, []byte("x"))
		assert.NilError(t, err)
		assert.Assert(t, client.pool.count() <= 2)
	}
	refs := make([]*connRef, 0, 2)
	for _, address := range addresses[:2] {
		ref, err := client.pool.acquire(t.Context(), address)
		assert.NilError(t, err)
		refs = append(refs, ref)
	}
	_, err := echo.Call(t.Context(), client, addresses[2], []byte("x"))
	assert.Equal(t, KindOf(err), KindLocal)
	refs[0].release()
	_, err = echo.Call(t.Context(), client, addresses[2], []byte("x"))
	assert.NilError(t, err)
	_, err = roundTrip(t.Context(), refs[1].conn, mustEncode(t, []any{1, "test.echo", []byte("x")}))
	assert.NilError(t, err)
}

// A server that handles its maximum of concurrent requests must answer further
// ones with KindBusy instead of queueing them.
func TestConcurrentRequestsAreLimited(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	server := listen(t, anyPort, identity, echoRegistry())
	for range maxConcurrentRequests {
		server.requestSlots <- struct{}{}
	}
	client := listen(t, anyPort, identity, NewRegistry())
	_, err := echo.Call(t.Context(), client, server.Address(), []byte("x"))
	assert.Equal(t, KindOf(err), KindBusy)
}

// A lease is taken over when the port of its holder is closed. A port whose process
// listens but does not answer, such as a frozen one, must not count as closed.
func TestPortClosed(t *testing.T) {
	authority := certstest.NewAuthority(t)
	server := listen(t, anyPort, newIdentity(t, authority, authority.Issue("a")), echoRegistry())
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer silent.Close()
	closed, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	closed.Close()
	for address, want := range map[string]bool{
		server.Address(): false, fmt.Sprint(silent.LocalAddr()): false, fmt.Sprint(closed.LocalAddr()): true,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		assert.Equal(t, PortClosed(ctx, address), want, address)
		cancel()
	}
}

// When an instance stops, its peers must see their connections closed at once.
// Otherwise they would wait for the idle timeout.
func TestCloseEndsConnectionsOfPeers(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	server := listen(t, anyPort, identity, echoRegistry())
	client := listen(t, anyPort, identity, NewRegistry())
	ref, err := client.pool.acquire(t.Context(), server.Address())
	assert.NilError(t, err)
	defer ref.release()
	_, err = roundTrip(t.Context(), ref.conn, mustEncode(t, []any{1, "test.echo", []byte("x")}))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout/2)
	defer cancel()
	select {
	case <-ref.conn.Context().Done():
	case <-ctx.Done():
		t.Fatal("the server has closed; the connection of the client is still open")
	}
}

// silentPackets is a socket that can drop all packets, as if its peers were cut off.
type silentPackets struct {
	net.PacketConn
	silent atomic.Bool
}

func (s *silentPackets) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.silent.Load() {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

// A request that timed out, or whose caller left, closed the connection to a peer that
// was only slow. The handshake of the next request made the peer slower still.
func TestTimedOutRequestsKeepTheConnection(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	registry := echoRegistry()
	slow := &Message[EmptyBody, EmptyBody]{Request: "test.slow", Response: "test.slow.answer", Timeout: time.Second}
	slow.Handle(registry, func(ctx context.Context, _ EmptyBody) (EmptyBody, error) { <-ctx.Done(); return EmptyBody{}, ctx.Err() })
	server := listen(t, anyPort, identity, registry)
	client := listen(t, anyPort, identity, NewRegistry())
	connection := func() *quic.Conn {
		ref, err := client.pool.acquire(t.Context(), server.Address())
		assert.NilError(t, err)
		defer ref.release()
		return ref.conn
	}
	before := connection()
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := slow.Call(ctx, client, server.Address(), EmptyBody{})
		cancel()
		assert.Equal(t, KindOf(err), KindTimeout)
		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = slow.Call(ctx, client, server.Address(), EmptyBody{})
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, connection() == before, "the connection to a slow peer was replaced")
}

// A connection whose peer has vanished must be replaced, or requests time out until the
// idle timeout of the connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	udp, err := net.ListenPacket("udp", anyPort)
	assert.NilError(t, err)
	socket := &silentPackets{PacketConn: udp}
	server, err := New(socket, identity, echoRegistry(), hclog.NewNullLogger())
	assert.NilError(t, err)
	go server.Serve()
	t.Cleanup(func() { _ = server.Close() })
	client := listen(t, anyPort, identity, NewRegistry())
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := echo.Call(ctx, client, server.Address(), []byte("x"))
		return err
	}
	assert.NilError(t, call())
	before, err := client.pool.acquire(t.Context(), server.Address())
	assert.NilError(t, err)
	before.release()
	socket.silent.Store(true)
	for range 2 { // packets that were on their way may arrive during the first call
		assert.Equal(t, KindOf(call()), KindTimeout)
	}
	time.Sleep(maxSilence)
	assert.Assert(t, call() != nil)
	client.pool.mu.Lock()
	element := client.pool.byAddr[server.Address()]
	client.pool.mu.Unlock()
	assert.Assert(t, element == nil || element.Value.(*pooledConn) != before.pooledConn, "a connection without packets for %v is still used", maxSilence)
}

// A request that failed while its connection was being opened counted as one that the peer
// may have run, so that refill which was never assigned was given up.
func TestRequestWithoutConnectionIsNotSent(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	silent, err := net.ListenPacket("udp", anyPort) // never answers a handshake
	assert.NilError(t, err)
	defer silent.Close()
	client := listen(t, anyPort, identity, NewRegistry())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = echo.Call(ctx, client, silent.LocalAddr().String(), []byte("x"))
	assert.Equal(t, KindOf(err), KindTimeout)
	assert.Assert(t, NotSent(err) && !MayHaveRun(err))
}
