package cli

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/choice"
	"lacewingwheel.example/lacewingwheel/pkg/replay"
)

// replayOptions holds the flags of the replay command.
type replayOptions struct {
	shape, policy, trace, writeTrace string
	seed                             uint64
	queueWeight                      float64
}

func newReplayCommand() *cobra.Command {
	var options replayOptions
	cmd := &cobra.Command{
		Use:   "replay",
		Short: "Replay a request trace and compare target selection with baseline policies",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runReplay(cmd, &options) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.shape, "shape", "coop", "deployment: coop or pumpvakt")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the generated trace")
	flags.StringVar(&options.policy, "policy", "", "replay only this policy (default: all)")
	flags.Float64Var(&options.queueWeight, "queue-weight", choice.DefaultParams().QueueWeight, "weight of queueing delay against saved prompt computation, as queue_weight of a pool")
	flags.StringVar(&options.trace, "trace", "", "replay this trace file instead of a generated trace")
	flags.StringVar(&options.writeTrace, "write-trace", "", "write the generated trace to this file and replay nothing")
	cmd.MarkFlagsMutuallyExclusive("trace", "write-trace")
	cmd.MarkFlagsMutuallyExclusive("trace", "shape")
	cmd.MarkFlagsMutuallyExclusive("trace", "seed")
	return cmd
}

func runReplay(cmd *cobra.Command, options *replayOptions) error {
	if options.policy != "" && !slices.Contains(replay.PolicyNames(), options.policy) {
		return &ExitError{Code: ExitInvalid, Err: fmt.Errorf(
			"policy %q is unknown; use one of %s", options.policy, strings.Join(replay.PolicyNames(), ", "))}
	}
	trace, err := loadTrace(options)
	if err != nil {
		return err
	}
	if options.writeTrace != "" {
		if err := writeTrace(trace, options.writeTrace); err != nil {
			return &ExitError{Code: ExitFailed, Err: err}
		}
		return nil
	}
	fmt.Fprintf(cmd.OutOrStdout(), "shape %s, seed %d, %d records, %d instances\n\n",
		trace.Shape, trace.Seed, len(trace.Records), replay.RouterCount)
	params := choice.DefaultParams()
	params.QueueWeight = options.queueWeight
	return replay.WriteResults(cmd.OutOrStdout(), replay.ReplayTrace(trace, params, options.policy))
}

// loadTrace reads the trace file, or generates a trace if no file is given.
func loadTrace(options *replayOptions) (*replay.Trace, error) {
	if options.trace == "" {
		shape, ok := replay.Deployments[options.shape]
		if !ok {
			return nil, &ExitError{Code: ExitInvalid, Err: fmt.Errorf("shape %q is unknown; use coop or pumpvakt", options.shape)}
		}
		return replay.GenerateTrace(shape, options.seed), nil
	}
	file, err := os.Open(options.trace)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Err: eris.Wrap(err, "cannot open the trace; give a file written with --write-trace")}
	}
	defer file.Close()
	trace, err := replay.ReadTrace(file)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Err: err}
	}
	return trace, nil
}

func writeTrace(trace *replay.Trace, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := trace.Write(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
