package server

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
)

// endpoint is an HTTP server with its listener. It speaks TLS if it has a
// certificate.
type endpoint struct {
	http     *http.Server
	listener net.Listener
}

// endpointOptions describe an endpoint. The setting is named in errors.
type endpointOptions struct {
	setting  string
	address  string
	certFile string
	keyFile  string
	handler  http.Handler
	log      hclog.Logger
}

func newEndpoint(o endpointOptions) (*endpoint, error) {
	security, err := endpointTLS(o)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s_listen: choose another address or end the process that uses it", o.setting)
	}
	server := &http.Server{
		Handler:           o.handler,
		TLSConfig:         security,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          o.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
	}
	return &endpoint{http: server, listener: listener}, nil
}

// endpointTLS returns nil if no files are given.
func endpointTLS(o endpointOptions) (*tls.Config, error) {
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

func (e *endpoint) serve() error {
	if e.http.TLSConfig != nil {
		return e.http.ServeTLS(e.listener, "", "")
	}
	return e.http.Serve(e.listener)
}

func (e *endpoint) address() string { return e.listener.Addr().String() }
