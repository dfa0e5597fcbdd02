package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/drain"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	// maxStreams bounds the requests at a time on a connection of HTTP/2. The protocol
	// recommends no less.
	maxStreams = 100
)

// endpoint is an HTTP server with its listener. It uses TLS if a certificate is
// configured.
type endpoint struct {
	server   *http.Server
	listener net.Listener
	conns    *drain.Tracker
	callers  *callerconn.Limiter
}

// endpointOptions are the options of an endpoint.
type endpointOptions struct {
	setting  string // prefix of the settings' names in errors, such as "caller"
	address  string
	certFile string
	keyFile  string
	handler  http.Handler
	callers  *callerconn.Limiter // bounds the connections
	timeout  time.Duration       // bounds reading a request and writing its answer; zero means no bound
	log      hclog.Logger
}

// newEndpoint opens the listener of an endpoint. serve starts the server. Errors
// name the setting to change.
func newEndpoint(o endpointOptions) (*endpoint, error) {
	tlsConfig, err := loadTLSConfig(o)
	if err != nil {
		return nil, err
	}
	listener, err := callerconn.Listen("tcp", o.address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s_listen: choose another address or end the process that uses it", o.setting)
	}
	conns := drain.NewTracker()
	httpServer := &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			conns.Record(conn, state)
			o.callers.Record(conn, state)
		},
		ConnContext:       callerconn.ContextWithConn,
		Handler:           o.handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       o.timeout,
		WriteTimeout:      o.timeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: callerconn.StreamBufferBytes / 2, MaxReceiveBufferPerConnection: callerconn.StreamBufferBytes,
		},
		ErrorLog: o.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
	}
	return &endpoint{server: httpServer, listener: drain.NewListener(listener), conns: conns, callers: o.callers}, nil
}

// loadTLSConfig loads the certificate and reloads it when its files change. It
// returns nil if no files are given.
func loadTLSConfig(o endpointOptions) (*tls.Config, error) {
	if o.certFile == "" && o.keyFile == "" {
		return nil, nil
	}
	if o.certFile == "" || o.keyFile == "" {
		return nil, fmt.Errorf("[tls] %[1]s_cert and %[1]s_key: give both files or neither", o.setting)
	}
	pair, err := certs.LoadKeyPair(o.certFile, o.keyFile, o.log.Named("certs"))
	if err != nil {
		return nil, eris.Wrapf(err, "[tls] %s_cert: give a certificate and its key in PEM", o.setting)
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Certificate(), nil },
	}, nil
}

// serve accepts connections until the server is closed. It always returns an error.
func (e *endpoint) serve() error {
	encrypted := e.server.TLSConfig != nil
	listener := e.callers.Listen(e.listener, encrypted)
	if encrypted {
		return e.server.ServeTLS(listener, "", "")
	}
	return e.server.Serve(listener)
}

// shutdown closes the listener and waits for running requests and for those that callers
// send on connections that were just opened. It returns the error of ctx if that ends before.
func (e *endpoint) shutdown(ctx context.Context) error {
	if err := e.listener.Close(); err != nil {
		return err
	}
	if err := e.conns.AwaitFirstRequests(ctx); err != nil {
		return err
	}
	return e.server.Shutdown(ctx)
}

func (e *endpoint) address() string { return e.listener.Addr().String() }
