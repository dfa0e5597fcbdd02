// Command standin runs a stand-in of the platform, an engine or a plain service as a
// process, or sends test load.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// exitCrash is the exit status of an engine with an injected crash. It is the status
// of a process that SIGKILL has ended.
const exitCrash = 137

func main() {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform, engines and plain services, and a load generator", SilenceUsage: true}
	root.AddCommand(newPlatform(), newEngine(), newService(), newLoad())
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}

func newPlatform() *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: "platform", Short: "Run a stand-in platform", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve("platform", listen, standin.NewPlatform().Handler())
	}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return cmd
}

func newEngine() *cobra.Command {
	var listen string
	options := standin.DefaultEngineOptions("demo")
	cmd := &cobra.Command{Use: "engine", Short: "Run a stand-in engine", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		e := standin.NewEngine(options)
		e.Crash = func() { os.Exit(exitCrash) }
		return serve("engine", listen, e.Handler())
	}}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&options.Model, "model", options.Model, "model that is loaded")
	flags.StringVar(&options.WeightVersion, "weight-version", options.WeightVersion, "version of the weights")
	flags.IntVar(&options.CachePieces, "cache-pieces", options.CachePieces, "capacity of the prefix cache, in pieces")
	flags.DurationVar(&options.PrefillPerKB, "prefill-per-kb", options.PrefillPerKB, "time to compute 1 KB of prompt that is not cached")
	flags.DurationVar(&options.TokenInterval, "token-interval", options.TokenInterval, "time between tokens")
	flags.DurationVar(&options.WeightLoadDelay, "load-delay", options.WeightLoadDelay, "time to load weights")
	flags.BoolVar(&options.CanResume, "can-resume", options.CanResume, "support resuming streams")
	flags.BoolVar(&options.ChecksFence, "checks-fence", options.ChecksFence, "reject orders with a stale fencing token")
	return cmd
}

func newService() *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: "service", Short: "Run a stand-in plain service", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve("service", listen, standin.NewService().Handler())
	}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return cmd
}

func newLoad() *cobra.Command {
	options := standin.LoadOptions{Model: "demo", Requests: 1000, Concurrency: 8, MaxTokens: 16, Prefixes: 8, PrefixBytes: 16000}
	cmd := &cobra.Command{Use: "load", Short: "Send streaming requests and report the time to first token", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		result := standin.GenerateLoad(cmd.Context(), options)
		h := result.FirstToken
		fmt.Printf("whole=%d failed=%d seconds=%.2f first_token_p50_us=%d p95_us=%d p99_us=%d\n",
			result.Completed, result.Failed, result.Elapsed.Seconds(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99))
		if result.Failed > 0 {
			return fmt.Errorf("%d requests failed, the first with: %w", result.Failed, result.FirstError)
		}
		return nil
	}}
	flags := cmd.Flags()
	flags.StringVar(&options.URL, "url", "http://127.0.0.1:8080", "base URL of a router or an engine")
	flags.StringVar(&options.Key, "key", "", "API key of an organisation")
	flags.StringVar(&options.Model, "model", options.Model, "model in the requests")
	flags.IntVar(&options.Requests, "requests", options.Requests, "number of requests")
	flags.IntVar(&options.Concurrency, "concurrency", options.Concurrency, "concurrent requests")
	flags.IntVar(&options.MaxTokens, "max-tokens", options.MaxTokens, "output tokens per request")
	flags.IntVar(&options.Prefixes, "prefixes", options.Prefixes, "distinct shared prefixes")
	flags.IntVar(&options.PrefixBytes, "prefix-bytes", options.PrefixBytes, "length of each shared prefix, in bytes")
	return cmd
}

func serve(role, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "standin"})
	log.Info("listening", "role", role, "address", listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}
