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

// checkFiles are the files of one check. Empty names are left out.
type checkFiles struct {
	settings string
	routes   string
	pools    string
	node     string // settings file of the users' platform
}

func newCheck() *cobra.Command {
	var files checkFiles
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings and tables offline and report all mistakes",
		Long: "Check settings and tables offline. Any subset of the files may be given; references " +
			"between the tables are checked when both are. All mistakes of all files are reported in one run.",
		Example: "  lacewingwheel check --settings lacewingwheel.ini --routes routes.ini --pools pools.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := files.check(); err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "no mistakes in %s\n", strings.Join(files.names(), ", "))
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
func addFileFlag(cmd *cobra.Command, target *string, name, standard, usage string) {
	cmd.Flags().StringVar(target, name, standard, usage)
	_ = cmd.MarkFlagFilename(name, "ini") // fails only for a flag that does not exist
}

func (f checkFiles) names() []string {
	var names []string
	for _, name := range []string{f.settings, f.routes, f.pools, f.node} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

func (f checkFiles) check() error {
	if len(f.names()) == 0 {
		return errors.New("there is nothing to check; give --settings, --routes, --pools or --node-file")
	}
	var report inifile.Report
	if text, ok := readChecked(f.settings, &report); ok {
		config.Check(f.settings, text, &report)
	}
	routes, haveRoutes := readChecked(f.routes, &report)
	pools, havePools := readChecked(f.pools, &report)
	if haveRoutes || havePools {
		tables.Check(tables.Source{Routes: routes, Pools: pools, RoutesName: f.routes, PoolsName: f.pools}, &report)
	}
	var node error
	if f.node != "" {
		_, node = platform.LoadSettings(f.node)
	}
	return errors.Join(countMistakes(report.Err()), node)
}

// readChecked reads a file. A file that cannot be read is one more mistake, so
// that the other files are still checked. The text of an empty file is not nil,
// unlike that of an absent one.
func readChecked(name string, report *inifile.Report) ([]byte, bool) {
	if name == "" {
		return nil, false
	}
	text, err := os.ReadFile(name)
	if err != nil {
		report.Add(inifile.Issue{File: name, Problem: "the file cannot be read: " + err.Error(), Remedy: "name a readable file"})
		return nil, false
	}
	return text, true
}

func countMistakes(err error) error {
	var typed *inifile.Error
	if !errors.As(err, &typed) {
		return err
	}
	return fmt.Errorf("%d mistakes\n%w", len(typed.Issues), err)
}
