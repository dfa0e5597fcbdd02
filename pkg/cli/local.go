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

func newLocal() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "local",
		Short: "Run a router with stand-in engines and platform in one process, to try it out",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			if err := runLocal(ctx, listen, cmd.OutOrStdout(), cmd.ErrOrStderr()); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "address for callers")
	return cmd
}

func runLocal(ctx context.Context, listen string, stdout, stderr io.Writer) error {
	p := standin.NewPlatform()
	address, err := serveLocal(p.Handler())
	if err != nil {
		return err
	}
	for i := range localEngines {
		if err := addLocalEngine(p, i); err != nil {
			return err
		}
	}
	key := newKey()
	if err := putLocalTables(ctx, p, key); err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: stderr})
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

func serveLocal(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	return listener.Addr().String(), nil
}

func addLocalEngine(p *standin.Platform, n int) error {
	options := standin.DefaultEngineOptions(localModel)
	options.TokenInterval = 50 * time.Millisecond
	address, err := serveLocal(standin.NewEngine(options).Handler())
	if err != nil {
		return err
	}
	p.SetInstance(objectstore.Instance{
		ID: fmt.Sprintf("engine-%d", n), Role: objectstore.RoleEngine, Address: address,
		Zone: "local", Labels: map[string]string{"app": "engine"},
	})
	return nil
}

// keyBytes gives a key 192 bits, so that its plain digest cannot be searched for.
const keyBytes = 24

func newKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails
	return "lw-" + hex.EncodeToString(raw)
}

const localRoutes = `[route chat]
path = /v1/chat/completions
pool = demo

[route completions]
path = /v1/completions
pool = demo
`

const localPools = `[pool demo]
targets = app=engine
model = demo

[organisation demo]
rate = 100000
burst = 1000000
key.first = %s
`

func putLocalTables(ctx context.Context, p *standin.Platform, key string) error {
	accepted := control.AcceptedConfiguration{
		Generation: 1, Editor: "local", Nonce: newKey(), Time: time.Now(),
		Routes: localRoutes,
		Pools:  fmt.Sprintf(localPools, tables.FormatDigest(tables.HashKey(key))),
	}
	value, err := accepted.Encode()
	if err != nil {
		return err
	}
	_, err = p.Store.Create(ctx, control.KindConfiguration, control.NameAccepted, value)
	return err
}
