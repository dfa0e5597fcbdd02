//go:build review

// Command standin-3 runs the cases review/11, review/13 and review/15: it starts the edge
// processes of the deploy file and the stand-ins around them, writes record.txt, and exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"outages":   runOutages,
	"forgotten": runForgotten,
	"pause":     runPause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		killStarted()
		os.Exit(2)
	}()
	r := &record{out: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	code := 0
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		code = 2
	case broken:
		r.printf("the rule was broken")
		code = 1
	default:
		r.printf("the rule held")
	}
	_ = file.Close()
	fmt.Println("exit", code)
	os.Exit(code)
}
