//go:build review

// Command review-standin plays one case of the review: it starts the store, the runners
// and the clients in its own process, and the routers as processes with the command of
// the deploy file. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name. trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (violations []string, err error){
	"hangup": runHangup,
	"orders": runOrders,
	"crash":  runCrash,
	"gone":   runGone,
	"deadly": runDeadly,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	f, err := newFleet(record)
	if err != nil {
		f.note("case could not run: %v", err)
		return exitFailed
	}
	f.note("case %s, trouble %t", name, trouble)
	violations, err := cases[name](f, trouble)
	f.stopAll()
	if err != nil {
		f.note("case could not run: %v", err)
		fmt.Println("case could not run:", err)
		return exitFailed
	}
	for _, v := range violations {
		f.note("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}
	f.note("violations: %d", len(violations))
	fmt.Println("violations:", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
