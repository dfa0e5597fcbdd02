package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/burn"
)

// Formats of the report command.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

func newReportCommand() *cobra.Command {
	var operators []string
	var format string
	cmd := &cobra.Command{
		Use:   "report --operator ADDRESS [--operator ADDRESS ...]",
		Short: "Report service levels and error-budget burn rates over all instances",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			write, err := reportWriter(format)
			if err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			if len(operators) == 0 {
				return &ExitError{Code: ExitInvalid, Err: errors.New("no instance is given; use --operator with the operator address of each instance")}
			}
			documents, missing := burn.FetchDocuments(cmd.Context(), http.DefaultClient, operatorURLs(operators))
			report := burn.NewReport(time.Now(), documents, missing)
			if err := write(cmd.OutOrStdout(), report); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			if len(documents) == 0 {
				return &ExitError{Code: ExitUnavailable, Err: errors.New("no instance answered; check the operator addresses")}
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&operators, "operator", nil, "operator address of an instance, ip:port or URL; repeat the flag for each instance")
	cmd.Flags().StringVar(&format, "format", formatText, "output format: text, json or html")
	return cmd
}

// reportWriter returns the function that writes a report in the format.
func reportWriter(format string) (func(io.Writer, burn.Report) error, error) {
	switch format {
	case formatText:
		return burn.WriteText, nil
	case formatHTML:
		return burn.WriteHTML, nil
	case formatJSON:
		return writeReportJSON, nil
	}
	return nil, fmt.Errorf("format %q is unknown; use text, json or html", format)
}

func writeReportJSON(w io.Writer, r burn.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// operatorURLs adds the scheme http to addresses without one.
func operatorURLs(addresses []string) []string {
	urls := make([]string, len(addresses))
	for i, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		urls[i] = address
	}
	return urls
}
