// Command lacewingwheel is the router and the operators' tool.
package main

import (
	"os"

	"lacewingwheel.example/lacewingwheel/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
