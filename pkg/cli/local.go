package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	localModel   = "demo"
	localEngines = 2
	loopback     = "127.0.0.1:0"
)

func newLocalCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "local",
		Short: "Run a router with a stand-in platform and stand-in engines in one process, to try it out",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			received := catchSignals()
			defer received.close()
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: cmd.ErrOrStderr()})
			ctx := received.stopContext(cmd.Context(), log)
			go received.ignoreHangups(ctx, log)
			if err := runLocal(ctx, listen, cmd.OutOrStdout(), log); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "address for callers")
	return cmd
}

// runLocal runs a router with a stand-in platform and engines until ctx is done. It
// prints an example request to stdout.
func runLocal(ctx context.Context, listen string, stdout io.Writer, log hclog.Logger) error {
	p := standin.NewPlatform()
	address, err := serveOnLoopback(p.Handler())
	if err != nil {
		return err
	}
	for i := range localEngines {
		if err := addLocalEngine(p, i); err != nil {
			return err
		}
	}
	key := newRandomKey()
	if err := putLocalTables(ctx, p, key); err != nil {
		return err
	}
	s, err := server.New(&config.Settings{
		Instance: config.Instance{ID: "local", Zone: "local", CallerListen: listen, OperatorListen: loopback},
		Platform: config.Platform{Address: "http://" + address},
		Server:   config.Server{DrainTimeout: 10 * time.Second},
	}, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "Operator page: http://%s/status.json\n\nTry it:\n\n", s.OperatorAddress())
	fmt.Fprintf(stdout, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n",
		s.CallerAddress(), key, localModel)
	return s.Run(ctx)
}

// serveOnLoopback serves handler on a free loopback port until the process ends and
// returns the address.
func serveOnLoopback(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// addLocalEngine starts a stand-in engine and adds it to the platform's instances.
func addLocalEngine(p *standin.Platform, n int) error {
	options := standin.DefaultEngineOptions(localModel)
	options.TokenInterval = 50 * time.Millisecond
	address, err := serveOnLoopback(standin.NewEngine(options).Handler())
	if err != nil {
		return err
	}
	p.SetInstance(objectstore.Instance{
		ID: fmt.Sprintf("engine-%d", n), Role: objectstore.RoleEngine, Address: address,
		Zone: "local", Labels: map[string]string{"app": "engine"},
	})
	return nil
}

// keyBytes is the length of a random key. The tables store unsalted digests of keys;
// with 192 bits a key cannot be found from its digest by trial.
const keyBytes = 24

// newRandomKey returns a random caller key.
func newRandomKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails
	return "lw-" + hex.EncodeToString(raw)
}

const localRoutesTable = `[route chat]
path = /v1/chat/completions
pool = demo

[route completions]
path = /v1/completions
pool = demo
`

const localPoolsTableFormat = `[pool demo]
targets = app=engine
model = demo

[organisation demo]
rate = 100000
burst = 1000000
key.first = %s
`

// putLocalTables stores tables that admit the given key as the accepted
// configuration.
func putLocalTables(ctx context.Context, p *standin.Platform, key string) error {
	accepted := control.AcceptedConfiguration{
		Generation: 1, Editor: "local", Nonce: newRandomKey(), Time: time.Now(),
		Routes: localRoutesTable,
		Pools:  fmt.Sprintf(localPoolsTableFormat, tables.FormatDigest(tables.HashKey(key))),
	}
	value, err := accepted.Encode()
	if err != nil {
		return err
	}
	_, err = p.Store.Create(ctx, control.KindConfiguration, control.NameAccepted, value)
	return err
}
