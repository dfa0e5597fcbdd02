//go:build review

// Command standin-2 plays the cases review/6 to review/10 whose fault is shown by a script: it
// starts the project's program as processes, and stand-ins of the platform's store, of runners
// and of clients in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld     = 0 // the rule held
	exitBroken   = 1
	exitNotShown = 2 // the case could not run
)

// caseLimit is the longest time that a case may run.
const caseLimit = 115 * time.Second

// trouble is false if the case is played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the cases by the name that run.sh passes. Each reports whether the rule was broken.
var cases = map[string]func(*fleet) (broken bool, err error){
	"pause":     playPause,
	"crashes":   playCrashes,
	"relist":    playRelist,
	"parts":     playParts,
	"walls":     playWalls,
	"deadly":    playDeadly,
	"slowcrash": playSlowCrash,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitNotShown
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	r.printf("case %s, with trouble: %t", os.Args[1], trouble)
	f, err := newFleet(r)
	if err != nil {
		r.say("not run: %v", err)
		return exitNotShown
	}
	defer f.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(caseLimit):
		}
		r.say("not run: the case was ended")
		f.close()
		os.Exit(exitNotShown)
	}()
	broken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		r.say("not run: %v", err)
		return exitNotShown
	case f.runningEdges() < len(f.edges):
		r.say("not run: a machine has ended by itself")
		return exitNotShown
	case broken:
		r.say("the rule is broken")
		return exitBroken
	}
	r.say("the rule holds")
	return exitHeld
}
