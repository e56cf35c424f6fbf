// Command standin runs the cases of the review: it starts a node of the project as
// a process of its own, takes the place of clients, backends, discovery and the
// platform, and judges what the clients see. See run.sh of each case.
//
// Its exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun ends a case that hangs.
const longestRun = 110 * time.Second

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// testCase is one case of the review. trouble is false if the disruption is left out.
type testCase func(root string, rec *record, trouble bool) (broken bool, err error)

var cases = map[string]testCase{}

func main() {
	os.Exit(run())
}

// run runs the case that the first argument names, from the root of the project that
// the second names, and writes its record into the file that the third names.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return statusNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	go endEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.sayf("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](os.Args[2], rec, trouble)
	switch {
	case err != nil:
		rec.sayf("could not run: %v", err)
		return statusNotRun
	case broken:
		rec.sayf("rule broken")
		return statusBroken
	}
	rec.sayf("rule held")
	return statusHeld
}

// endEarly ends the case, and the processes that it started, on SIGTERM and SIGINT
// and after longestRun.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	endStarted()
	fmt.Println("ended early")
	os.Exit(statusNotRun)
}
