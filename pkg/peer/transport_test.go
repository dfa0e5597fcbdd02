package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
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

// Guards the exchange itself at the sizes that the page allows, and the typed
// errors that a caller decides by.
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
	assert.Equal(t, KindOf(remoteError("", answer)), KindUnsupportedVersion)
}

// Guards against a peer that is let in, or believed, with a certificate of
// another authority.
func TestOtherAuthorityIsRefused(t *testing.T) {
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

// Guards against a peer that waits for timeouts after the instance it talks to
// has restarted at the same address.
func TestRestartedPeerIsReachedSoon(t *testing.T) {
	authority := certstest.NewAuthority(t)
	files := authority.Issue("a")
	client := listen(t, anyPort, newIdentity(t, authority, authority.Issue("b")), NewRegistry())
	first := listen(t, anyPort, newIdentity(t, authority, files), echoRegistry())
	address := first.Address()
	_, err := echo.Call(t.Context(), client, address, []byte("one"))
	assert.NilError(t, err)
	// Closing the socket alone, as a kill does, tells the peer nothing.
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

// Guards against more connections than the limit, and against closing one that
// is in use.
func TestConnectionsAreBounded(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	client := listen(t, anyPort, identity, NewRegistry())
	client.connections.limit = 2
	var addresses []string
	for range 4 {
		addresses = append(addresses, listen(t, anyPort, identity, echoRegistry()).Address())
	}
	for _, address := range addresses {
		_, err := echo.Call(t.Context(), client, address, []byte("x"))
		assert.NilError(t, err)
		assert.Assert(t, client.connections.count() <= 2)
	}
	held := make([]*use, 0, 2)
	for _, address := range addresses[:2] {
		u, err := client.connections.acquire(t.Context(), address)
		assert.NilError(t, err)
		held = append(held, u)
	}
	_, err := echo.Call(t.Context(), client, addresses[2], []byte("x"))
	assert.Equal(t, KindOf(err), KindLocal)
	held[0].release()
	_, err = echo.Call(t.Context(), client, addresses[2], []byte("x"))
	assert.NilError(t, err)
	_, err = roundTrip(t.Context(), held[1].conn, mustEncode(t, []any{1, "test.echo", []byte("x")}))
	assert.NilError(t, err)
}

// Guards a server against more requests at a time than it allows.
func TestExchangesAreBounded(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	server := listen(t, anyPort, identity, echoRegistry())
	for range maxExchanges {
		server.slots <- struct{}{}
	}
	client := listen(t, anyPort, identity, NewRegistry())
	_, err := echo.Call(t.Context(), client, server.Address(), []byte("x"))
	assert.Equal(t, KindOf(err), KindBusy)
}

// Guards against taking silence for proof: only a closed port is refused; a
// listening and a silent one are not.
func TestRefused(t *testing.T) {
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

// Guards against peers that keep a connection to an instance that has stopped:
// they must see the end at once, not after a timeout.
func TestCloseTellsPeers(t *testing.T) {
	authority := certstest.NewAuthority(t)
	identity := newIdentity(t, authority, authority.Issue("a"))
	server := listen(t, anyPort, identity, echoRegistry())
	client := listen(t, anyPort, identity, NewRegistry())
	u, err := client.connections.acquire(t.Context(), server.Address())
	assert.NilError(t, err)
	defer u.release()
	_, err = roundTrip(t.Context(), u.conn, mustEncode(t, []any{1, "test.echo", []byte("x")}))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout/2)
	defer cancel()
	select {
	case <-u.conn.Context().Done():
	case <-ctx.Done():
		t.Fatal("the connection is still open")
	}
}
