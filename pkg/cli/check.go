package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/platform"
)

// checkFiles holds the paths of the files to check. Empty paths are skipped.
type checkFiles struct {
	settings string
	routes   string
	pools    string
	node     string // settings file of the users' platform
}

func newCheckCommand() *cobra.Command {
	var files checkFiles
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings and tables offline and report all mistakes",
		Long: "Check settings and tables offline. Any subset of the files may be given; references " +
			"between the tables are checked if both tables are given. All mistakes of all files are reported in one run.",
		Example: "  lacewingwheel check --settings lacewingwheel.ini --routes routes.ini --pools pools.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := files.check(); err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "no mistakes in %s\n", strings.Join(files.paths(), ", "))
			return nil
		},
	}
	addFileFlag(cmd, &files.settings, "settings", "", "file with the settings of a process")
	addFileFlag(cmd, &files.routes, "routes", "", "file with the routes table")
	addFileFlag(cmd, &files.pools, "pools", "", "file with the pools table")
	cmd.Flags().StringVar(&files.node, "node-file", "", "settings file of the users' platform")
	return cmd
}

// addFileFlag adds a flag whose shell completion offers INI files.
func addFileFlag(cmd *cobra.Command, target *string, name, defaultValue, usage string) {
	cmd.Flags().StringVar(target, name, defaultValue, usage)
	_ = cmd.MarkFlagFilename(name, "ini") // fails only for a flag that does not exist
}

// paths returns the paths that are given.
func (f checkFiles) paths() []string {
	var paths []string
	for _, path := range []string{f.settings, f.routes, f.pools, f.node} {
		if path != "" {
			paths = append(paths, path)
		}
	}
	return paths
}

// check returns one error with all mistakes in the files, or nil.
func (f checkFiles) check() error {
	if len(f.paths()) == 0 {
		return errors.New("no file to check; give --settings, --routes, --pools or --node-file")
	}
	var report inifile.Report
	if text, ok := readForCheck(f.settings, &report); ok {
		config.Check(f.settings, text, &report)
	}
	routes, haveRoutes := readForCheck(f.routes, &report)
	pools, havePools := readForCheck(f.pools, &report)
	if haveRoutes || havePools {
		tables.Check(tables.Source{Routes: routes, Pools: pools, RoutesName: f.routes, PoolsName: f.pools}, &report)
	}
	var nodeErr error
	if f.node != "" {
		_, nodeErr = platform.LoadSettings(f.node)
	}
	return errors.Join(countMistakes(report.Err()), nodeErr)
}

// readForCheck reads a file, if a path is given. A file that cannot be read is added
// to the report, so that the other files are still checked. For an empty file the
// text is non-nil.
func readForCheck(path string, report *inifile.Report) ([]byte, bool) {
	if path == "" {
		return nil, false
	}
	text, err := os.ReadFile(path)
	if err != nil {
		report.Add(inifile.Issue{File: path, Problem: "the file cannot be read: " + err.Error(), Remedy: "give the path of a readable file"})
		return nil, false
	}
	return text, true
}

// countMistakes puts the number of mistakes in front of an error of the checks.
func countMistakes(err error) error {
	var checkErr *inifile.Error
	if !errors.As(err, &checkErr) {
		return err
	}
	return fmt.Errorf("%d mistakes\n%w", len(checkErr.Issues), err)
}
