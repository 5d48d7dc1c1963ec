// Command standin runs the cases of the review: it starts nodes with the command of the deploy file
// beside small stand-ins for the platform's store, runners and clients, and judges what the clients,
// the runners and the platform see.
//
//	standin whole|order|resize PROGRAM FOLDER RECORD
//	standin runner ID ADDRESS STORE
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxLength ends a case that takes too long. Scripts may take 120 s.
const maxLength = 112 * time.Second

// errBroken is the error of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	arguments := os.Args[1:]
	if len(arguments) == 4 && arguments[0] == "runner" {
		fmt.Println(runPlain(arguments[1], arguments[2], arguments[3]))
		os.Exit(2)
	}
	cases := map[string]func(*site, bool) error{"whole": runWhole, "order": runOrder, "resize": runResize}
	if len(arguments) != 4 || cases[arguments[0]] == nil {
		fmt.Println("usage: standin whole|order|resize PROGRAM FOLDER RECORD")
		os.Exit(2)
	}
	site := newSite(arguments[1], arguments[2])
	var once sync.Once
	finish := func(err error) {
		once.Do(func() { os.Exit(site.finish(err, arguments[3])) })
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxLength):
		}
		finish(errors.New("it took too long, or was ended"))
	}()
	finish(cases[arguments[0]](site, os.Getenv("TROUBLE") != "0"))
}
