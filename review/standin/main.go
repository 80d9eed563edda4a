// Command standin runs the stand-ins of one review case: the platform's store, servers and clients. run.sh starts the nodes of the
// system beside it. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 112 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE WORK-DIRECTORY RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(directory, record string, trouble bool) (broken bool, err error){
		"resent": runResent, "newroute": runNewRoute, "poison": runPoison, "single": runSingle, "encoded": runEncoded, "uploads": runUploads, "split": runSplit, "itempath": runItemPath, "slashes": runSlashes,
	}
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(2)
	})
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	broken, err := run(os.Args[2], os.Args[3], trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// newRandom returns a random source with a seed of its own for each use.
func newRandom(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed)) }
