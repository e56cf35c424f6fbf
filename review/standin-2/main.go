// Command review-standin-2 plays the cases of the second independent review: it starts
// the node with the command of the deploy file, plays its clients, its endpoints and
// discovery as the operators' pages allow, and checks one rule on what they have seen.
//
// It is called by review/N/run.sh from the project's root as
//
//	review-standin-2 CASE FOLDER
//
// and writes FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that hangs, so that nothing is left behind.
const longestCase = 110 * time.Second

// playCase plays a case and returns how often its rule was broken.
type playCase func(w *world) (broken int, err error)

var cases = map[string]playCase{
	"end-with-pipeline":  playEndWithPipeline,
	"crowd-and-pipeline": playCrowdAndPipeline,
	"end-with-crowd":     playEndWithCrowd,
	"much-and-go":        playMuchAndGo,
	"long-pipeline":      playLongPipeline,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(arguments[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer w.close()
	timer := time.AfterFunc(longestCase, func() { w.abort("the case takes too long") })
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { w.abort("ended by " + (<-signals).String()) }()
	broken, err := cases[arguments[0]](w)
	switch {
	case err != nil:
		w.summary("not run: %v", err)
		return exitNotRun
	case broken > 0:
		w.summary("broken: %d times", broken)
		return exitBroken
	}
	w.summary("held")
	return exitHeld
}

// abort ends a case that has no result.
func (w *world) abort(why string) {
	w.close()
	fmt.Fprintln(os.Stderr, "not run:", why)
	os.Exit(exitNotRun)
}
