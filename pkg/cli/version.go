package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the version of this release.
const Version = "0.1.0"

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "lacewingwheel %s (%s)\n", Version, goVersion)
		},
	}
}
