package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
)

// Limits of connections and streams.
const (
	maxConnections        = 64               // open connections to other instances; the least recently used is closed
	maxIncomingConns      = 512              // connections from other instances; the design scale needs 410
	maxIncomingStreams    = 16               // concurrent requests per connection
	maxConcurrentRequests = 64               // concurrent requests over all incoming connections
	idleTimeout           = 10 * time.Second // connections without packets for that long are closed
	handshakeIdleTimeout  = time.Second      // longest silence of a peer during the handshake
	serveTimeout          = 5 * time.Second  // for reading a request and writing its response
	streamWindow          = MaxMessageBytes + 64<<10
)

// QUIC error codes for closing connections and streams.
const (
	codeClosing  quic.ApplicationErrorCode = 1
	codeTooMany  quic.ApplicationErrorCode = 2
	codeCanceled quic.StreamErrorCode      = 1
)

// Transport sends requests to other instances and serves theirs. It is safe for
// concurrent use.
type Transport struct {
	identity *Identity
	registry *Registry
	log      hclog.Logger

	socket          net.PacketConn
	quic            *quic.Transport
	listener        *quic.Listener
	pool            *connectionPool
	requestSlots    chan struct{}
	connectionSlots chan struct{}

	mu         sync.Mutex // excludes starting goroutines while Close begins
	goroutines sync.WaitGroup
	closing    context.Context
	startClose context.CancelFunc
}

// Listen opens the UDP socket at an address and returns a transport that uses it.
func Listen(address string, identity *Identity, registry *Registry, log hclog.Logger) (*Transport, error) {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	return New(socket, identity, registry, log)
}

// New returns a transport that uses a UDP socket. Requests are served once Serve
// runs. Close closes the socket, and so does New when it fails.
func New(socket net.PacketConn, identity *Identity, registry *Registry, log hclog.Logger) (*Transport, error) {
	resetKey, err := identity.resetKey()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	t := &Transport{
		identity: identity, registry: registry, log: log, socket: socket,
		quic:            &quic.Transport{Conn: socket, StatelessResetKey: resetKey},
		requestSlots:    make(chan struct{}, maxConcurrentRequests),
		connectionSlots: make(chan struct{}, maxIncomingConns),
	}
	t.pool = newConnectionPool(maxConnections, t.dial)
	t.closing, t.startClose = context.WithCancel(context.Background())
	if t.listener, err = t.quic.Listen(identity.serverTLS(), quicConfig()); err != nil {
		return nil, errors.Join(err, t.quic.Close(), socket.Close())
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeIdleTimeout,
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         maxIncomingStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: 2 * streamWindow,
	}
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Serve accepts connections and serves their requests until the transport is closed.
func (t *Transport) Serve() {
	for {
		conn, err := t.listener.Accept(t.closing)
		if err != nil {
			if t.closing.Err() == nil {
				t.log.Error("requests of other instances are no longer answered; restart this instance", "cause", err)
			}
			return
		}
		select {
		case t.connectionSlots <- struct{}{}:
		default:
			_ = conn.CloseWithError(codeTooMany, "too many connections")
			continue
		}
		started := t.startGoroutine(func() {
			defer func() { <-t.connectionSlots }()
			t.serveConnection(conn)
		})
		if !started {
			return
		}
	}
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false
// without running f if Close has begun.
func (t *Transport) startGoroutine(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing.Err() != nil {
		return false
	}
	t.goroutines.Go(f)
	return true
}

func (t *Transport) serveConnection(conn *quic.Conn) {
	defer conn.CloseWithError(codeClosing, "stopping")
	for {
		stream, err := conn.AcceptStream(t.closing)
		if err != nil {
			return
		}
		if !t.startGoroutine(func() { t.serveStream(conn.Context(), stream) }) {
			return
		}
	}
}

// serveStream reads one request and writes its response. It answers KindBusy without
// reading while maxConcurrentRequests are running.
func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream) {
	defer stream.Close()
	defer stream.CancelRead(codeCanceled)
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	select {
	case t.requestSlots <- struct{}{}:
		defer func() { <-t.requestSlots }()
	default:
		_, _ = stream.Write(encodeError(&Error{Kind: KindBusy, Message: "too many requests at a time; try again later"}))
		return
	}
	request, err := readMessage(stream)
	if err != nil {
		if _, ok := err.(*Error); ok {
			_, _ = stream.Write(encodeError(err))
		}
		return
	}
	_, _ = stream.Write(t.registry.handle(ctx, request))
}

// exchange implements Caller.
func (t *Transport) exchange(ctx context.Context, address string, request []byte) (envelope, error) {
	ref, err := t.pool.acquire(ctx, address)
	if err != nil {
		failed := classifyError(address, err)
		failed.NotSent = true
		return envelope{}, failed
	}
	defer ref.release()
	startedAt, received := time.Now(), ref.packetsReceived()
	response, err := roundTrip(ctx, ref.conn, request)
	if err == nil {
		return response, nil
	}
	switch {
	case isPeerError(err):
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		// The peer may only be slow, and a handshake takes more of its processor
		// time than many requests.
		ref.recordSilence(startedAt, received)
	default:
		// The connection may belong to a process that no longer runs.
		ref.discard()
	}
	return envelope{}, classifyError(address, err)
}

// roundTrip sends a request on a new stream and reads the response.
func roundTrip(ctx context.Context, conn *quic.Conn, request []byte) (envelope, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return envelope{}, err
	}
	defer stream.CancelRead(codeCanceled)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(codeCanceled)
		stream.CancelRead(codeCanceled)
	})
	defer stop()
	if _, err := stream.Write(request); err != nil {
		return envelope{}, err
	}
	if err := stream.Close(); err != nil {
		return envelope{}, err
	}
	response, err := readMessage(stream)
	if err != nil && ctx.Err() != nil {
		return envelope{}, ctx.Err()
	}
	return response, err
}

// isPeerError reports whether err is of type *Error: the peer has sent a message,
// so the connection works.
func isPeerError(err error) bool {
	var known *Error
	return errors.As(err, &known)
}

// classifyError returns err as an *Error with its kind and the address.
func classifyError(address string, err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		known.Address = address
		return known
	}
	var network net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout() {
		return &Error{Kind: KindTimeout, Address: address, Message: "no response in time", Cause: err}
	}
	return &Error{Kind: KindUnreachable, Address: address, Message: "exchange failed", Cause: err}
}

func (t *Transport) dial(ctx context.Context, address string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := t.quic.Dial(ctx, udp, t.identity.clientTLS(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// UnpooledCaller returns a caller that dials a new connection for each request.
// The response then comes from the process that listens at the address now, and
// not from an earlier one behind a pooled connection.
func (t *Transport) UnpooledCaller() Caller { return unpooledCaller{t} }

type unpooledCaller struct{ t *Transport }

func (f unpooledCaller) exchange(ctx context.Context, address string, request []byte) (envelope, error) {
	conn, err := f.t.dial(ctx, address)
	if err != nil {
		return envelope{}, classifyError(address, err)
	}
	defer conn.CloseWithError(codeClosing, "done")
	response, err := roundTrip(ctx, conn, request)
	if err != nil {
		return envelope{}, classifyError(address, err)
	}
	return response, nil
}

// Close stops serving, closes all connections so that peers see it at once, and
// releases the address. Peers take a closed port as proof that the instance has
// stopped, so closing must be the last step of a shutdown.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.startClose()
	t.mu.Unlock()
	t.pool.close()
	t.goroutines.Wait()
	return errors.Join(t.listener.Close(), t.quic.Close(), t.socket.Close())
}
