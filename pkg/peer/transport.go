package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
)

// Limits of connections and streams.
const (
	maxConnections    = 64               // kept to other instances; the least recently used is closed
	maxIncoming       = 512              // connections accepted from other instances, above the 410 of the design scale
	maxIncomingStream = 16               // concurrent requests of one connection
	maxExchanges      = 64               // requests handled at a time, over all connections
	idleTimeout       = 10 * time.Second // a connection without packets is closed
	handshakeIdle     = time.Second      // longest silence of a peer during the handshake
	serveTimeout      = 5 * time.Second  // for reading a request and writing its response
	streamWindow      = MaxMessageBytes + 64<<10
)

// Codes with which connections and streams are closed.
const (
	codeClosing  quic.ApplicationErrorCode = 1
	codeTooMany  quic.ApplicationErrorCode = 2
	codeCanceled quic.StreamErrorCode      = 1
)

// Transport sends requests to other instances and answers theirs.
type Transport struct {
	identity *Identity
	registry *Registry
	log      hclog.Logger

	socket      *net.UDPConn
	quic        *quic.Transport
	listener    *quic.Listener
	connections *connections
	slots       chan struct{}
	incoming    chan struct{}

	mu         sync.Mutex // orders new goroutines before or after closing
	running    sync.WaitGroup
	closing    context.Context
	startClose context.CancelFunc
}

// Listen opens the socket. Requests are answered once Serve runs.
func Listen(address string, identity *Identity, registry *Registry, log hclog.Logger) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	resetKey, err := identity.resetKey()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	t := &Transport{
		identity: identity, registry: registry, log: log, socket: socket,
		quic:     &quic.Transport{Conn: socket, StatelessResetKey: resetKey},
		slots:    make(chan struct{}, maxExchanges),
		incoming: make(chan struct{}, maxIncoming),
	}
	t.connections = newConnections(maxConnections, t.dial)
	t.closing, t.startClose = context.WithCancel(context.Background())
	if t.listener, err = t.quic.Listen(identity.serverTLS(), quicConfig()); err != nil {
		return nil, errors.Join(err, t.quic.Close(), socket.Close())
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeIdle,
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         maxIncomingStream,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: 2 * streamWindow,
	}
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Serve answers requests until the transport is closed.
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
		case t.incoming <- struct{}{}:
		default:
			_ = conn.CloseWithError(codeTooMany, "too many connections")
			continue
		}
		started := t.run(func() {
			defer func() { <-t.incoming }()
			t.serveConnection(conn)
		})
		if !started {
			return
		}
	}
}

// run starts a goroutine that Close waits for, unless Close has begun.
func (t *Transport) run(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing.Err() != nil {
		return false
	}
	t.running.Go(f)
	return true
}

func (t *Transport) serveConnection(conn *quic.Conn) {
	defer conn.CloseWithError(codeClosing, "stopping")
	for {
		stream, err := conn.AcceptStream(t.closing)
		if err != nil {
			return
		}
		if !t.run(func() { t.serveStream(conn.Context(), stream) }) {
			return
		}
	}
}

// serveStream reads one request and writes one response.
func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream) {
	defer stream.Close()
	defer stream.CancelRead(codeCanceled)
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
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
	_, _ = stream.Write(t.registry.answer(ctx, request))
}

// exchange implements Caller.
func (t *Transport) exchange(ctx context.Context, address string, request []byte) (envelope, error) {
	use, err := t.connections.acquire(ctx, address)
	if err != nil {
		return envelope{}, failure(address, err)
	}
	defer use.release()
	answer, err := roundTrip(ctx, use.conn, request)
	if err == nil {
		return answer, nil
	}
	if !isAnswer(err) {
		// The connection may belong to a process that is gone.
		use.retire()
	}
	return envelope{}, failure(address, err)
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
	answer, err := readMessage(stream)
	if err != nil && ctx.Err() != nil {
		return envelope{}, ctx.Err()
	}
	return answer, err
}

// isAnswer reports whether the peer sent something, so that the connection works.
func isAnswer(err error) bool {
	var known *Error
	return errors.As(err, &known)
}

// failure classifies an error of the transport.
func failure(address string, err error) error {
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

// UnpooledCaller returns a caller that opens a connection of its own for each
// request, so that the response surely comes from the process that has the
// address now.
func (t *Transport) UnpooledCaller() Caller { return freshCaller{t} }

type freshCaller struct{ t *Transport }

func (f freshCaller) exchange(ctx context.Context, address string, request []byte) (envelope, error) {
	conn, err := f.t.dial(ctx, address)
	if err != nil {
		return envelope{}, failure(address, err)
	}
	defer conn.CloseWithError(codeClosing, "done")
	answer, err := roundTrip(ctx, conn, request)
	if err != nil {
		return envelope{}, failure(address, err)
	}
	return answer, nil
}

// Close stops answering, tells all peers, and frees the address. Peers take a
// closed address as proof that the instance has stopped, so it must be the last
// thing that a stopping instance does.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.startClose()
	t.mu.Unlock()
	t.connections.close()
	t.running.Wait()
	return errors.Join(t.listener.Close(), t.quic.Close(), t.socket.Close())
}
